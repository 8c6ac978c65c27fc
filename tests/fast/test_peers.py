"""Tests the decisions about silent peers and idle connections."""

import unittest

from jacinthsail.internal.commands.peers import (
    add_peer,
    change_in_flight,
    record_failure,
    record_heartbeat,
    record_hello,
)
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.messages import Heartbeat, Hello
from jacinthsail.internal.model.peers import (
    CloseIdleConnection,
    ConnectionView,
    KeepConnection,
    ReplaceConnection,
)
from jacinthsail.internal.queries.peers import MAX_SUSPICION_S, decide_connection, suspicion_s


def view(**changes):
    usual = ConnectionView(True, 0.0, 0.0, 0, None, False)
    return usual._replace(**changes)


class ConnectionTest(unittest.TestCase):
    def decide(self, now, detects_silence=True, last_check=None, **changes):
        last_check = now - 0.25 if last_check is None else last_check
        return decide_connection(view(**changes), now, last_check, detects_silence)

    def test_silence_of_two_and_a_half_heartbeats(self):
        """A silent connection would keep its calls waiting until their deadlines."""
        self.assertEqual(self.decide(4.9), KeepConnection())
        self.assertEqual(self.decide(5.1), ReplaceConnection(Reason.PEER_SILENT))

    def test_overdue_call_shortens_the_wait(self):
        """An overdue call and a missing heartbeat together reveal a dead connection earlier."""
        self.assertEqual(self.decide(2.4, overdue_since=1.0), KeepConnection())
        self.assertEqual(self.decide(2.6, overdue_since=1.0), ReplaceConnection(Reason.PEER_SILENT))

    def test_byte_after_an_overdue_call_keeps_the_connection(self):
        """A slow target must not fail the other calls on the connection."""
        decision = self.decide(4.5, overdue_since=1.0, last_received=1.5)
        self.assertEqual(decision, KeepConnection())

    def test_pause_of_this_process_is_not_silence_of_the_peer(self):
        """After a pause of this process, every connection may hold unread bytes."""
        self.assertEqual(self.decide(60.0, last_check=10.0), KeepConnection())

    def test_silence_detection_disabled(self):
        """The scenario without silence detection must keep a silent connection."""
        self.assertEqual(self.decide(9.0, detects_silence=False), KeepConnection())

    def test_idle_connection_is_closed_by_its_opener_only(self):
        """If the accepting end closed it, a call from the opener could be lost in transit."""
        alive = {"last_received": 61.0}
        self.assertEqual(self.decide(61.0, **alive), CloseIdleConnection())
        for change in ({"opened_locally": False}, {"calls": 1}, {"keeps_open": True}):
            with self.subTest(change=change):
                self.assertEqual(self.decide(61.0, **alive, **change), KeepConnection())


class PeerStateTest(unittest.TestCase):
    def test_second_hello_keeps_calls_in_flight(self):
        """A reset at the second hello of a peer would make the count negative later."""
        peers = {}
        add_peer(peers, "vm-2", 1.0)
        change_in_flight(peers["vm-2"], 1)
        record_hello(peers, Hello("vm-2", "i1", "d", "s"), 1.0)
        record_hello(peers, Hello("vm-2", "i1", "d", "s"), 2.0)
        self.assertEqual(peers["vm-2"]["in_flight"], 1)
        record_hello(peers, Hello("vm-2", "i2", "d", "s"), 3.0)
        self.assertEqual(peers["vm-2"]["in_flight"], 0)

    def test_heartbeat_clears_suspicion(self):
        """A peer that responds again must get calls again at once."""
        peers = {}
        add_peer(peers, "vm-2", 1.0)
        record_failure(peers["vm-2"], 9.0)
        record_heartbeat(peers["vm-2"], Heartbeat(0, 0, 7, False), 2.0)
        self.assertEqual(peers["vm-2"]["suspected_until"], 0.0)
        self.assertEqual(peers["vm-2"]["failures"], 0)

    def test_suspicion_is_bounded(self):
        """A peer that was unreachable for an hour must not stay suspected long afterwards."""
        self.assertLess(suspicion_s(1), suspicion_s(2))
        self.assertEqual(suspicion_s(10_000), MAX_SUSPICION_S)
