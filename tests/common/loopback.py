"""Node components and raw servers on loopback, for tests in one process."""

import asyncio
import socket
from pathlib import Path

from jacinthsail.internal.adapters.relay import RelayPool
from jacinthsail.internal.adapters.wire import encode_frame
from jacinthsail.internal.commands.replication import accept_item, complete_startup
from jacinthsail.internal.model.calls import Call
from jacinthsail.internal.model.membership import VmEntry, VmStatus
from jacinthsail.internal.model.messages import Hello
from jacinthsail.internal.model.replication import Item
from jacinthsail.internal.model.settings import Endpoint
from jacinthsail.internal.queries.initial import initial_state
from jacinthsail.internal.queries.replication import decide_item
from jacinthsail.testing.node_settings import node_settings as unreachable_node_settings
from tests.common.call_factories import call_context

HOST = "127.0.0.1"
SAMPLES = Path(__file__).resolve().parents[2] / "samples"


def free_endpoint():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return Endpoint(HOST, probe.getsockname()[1])


def node_settings(vm="drafts-1", service="drafts", disabled=frozenset(), **endpoints):
    places = {}
    for name in ("callers", "relay", "operators", "target", "platform"):
        places[name] = endpoints.get(name) or free_endpoint()
    return unreachable_node_settings(
        vm=vm,
        failure_domain="manila",
        region="luzon",
        service=service,
        cross_region_bytes_per_s=1_000_000,
        disabled=disabled,
        **places,
    )


def state_with_samples(settings, now):
    """Return the state of a node that holds the sample sections and has completed its startup."""
    state = initial_state(settings, f"incarnation-of-{settings.vm}", now, 0)
    complete_startup(state["gossip"])
    for version, name in enumerate(("drafts", "billing"), start=1):
        body = (SAMPLES / "stenonet" / f"{name}.toml").read_bytes()
        item = Item(f"section/{name}", version, "digest", body)
        accept_item(state["store"], decide_item(state["store"], item), now)
    return state


def new_pool(settings=None):
    """Return a relay pool for the running loop, without starting it."""
    settings = settings or node_settings()
    loop = asyncio.get_running_loop()
    return RelayPool(state_with_samples(settings, loop.time()), loop=loop)


def vm_entry_at(endpoint, vm="drafts-1", service="drafts"):
    return VmEntry(
        vm=vm,
        host=endpoint.host,
        callers_port=1,
        relay_port=endpoint.port,
        failure_domain="manila",
        region="luzon",
        service=service,
        status=VmStatus.LIVE,
        listed_at_ms=0,
    )


def call_with_deadline_in(seconds, body=b"body", **context):
    deadline = asyncio.get_running_loop().time() + seconds
    return Call(call_context(deadline=deadline, **context), "text/plain", body)


async def start_server(protocol_factory):
    """Return a listening server and its endpoint."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(protocol_factory, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    return server, Endpoint(HOST, port)


class RawServer(asyncio.Protocol):
    """Accepts connections, records received data and calls ``respond``, if given, after a read."""

    def __init__(self, connections, reads=True, respond=None, hello=None):
        self.connections = connections
        self.reads = reads
        self.respond = respond
        self.hello = hello
        self.received = bytearray()
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        self.connections.append(self)
        if self.hello is not None:
            transport.write(encode_frame(Hello(self.hello, "i1", "manila", "drafts")))
        if not self.reads:
            transport.pause_reading()

    def data_received(self, data):
        self.received += data
        if self.respond is not None:
            self.respond(self)


async def wait_until(condition):
    """Wait until a condition holds; raise ``TimeoutError`` after 10 s."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)
