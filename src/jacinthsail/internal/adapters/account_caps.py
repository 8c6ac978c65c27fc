"""Holds requests of accounts with a cap until they have a token, and grants tokens to nodes."""

import asyncio
import logging
from collections import Counter, deque
from collections.abc import Callable
from functools import singledispatch

from jacinthsail.internal.adapters.boot_clock import boot_time
from jacinthsail.internal.adapters.connection import PeerConnection
from jacinthsail.internal.adapters.peer_links import PeerLinks
from jacinthsail.internal.commands.caps import (
    close_bucket,
    expire_tokens,
    open_bucket,
    record_ask,
    record_demand,
    record_fallback,
    record_grant,
    record_no_reply,
    record_reply,
    record_returned,
    record_unused,
    set_members,
    spend_token,
)
from jacinthsail.internal.model.accounts import Account, AccountCap
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.caps import (
    AskHome,
    Grant,
    GrantStatus,
    RefuseOverCap,
    RefuseUnknownCap,
    TokenBucket,
    TokenStock,
    UseFallback,
    UseToken,
)
from jacinthsail.internal.model.fleet import FleetState
from jacinthsail.internal.model.fleet_settings import CapSettings
from jacinthsail.internal.model.freshness import FreshnessState
from jacinthsail.internal.model.messages import BucketTransfer, TokenGrant, TokenRequest
from jacinthsail.internal.model.request_state import RespondLocally
from jacinthsail.internal.model.statuses import STATUS_NOT_RUN, STATUS_TOO_MANY_REQUESTS
from jacinthsail.internal.queries.caps import (
    HOME_RETRY_S,
    HOME_TIMEOUT_S,
    RETRY_AFTER_UNKNOWN_CAP_S,
    decide_fallback,
    decide_grant,
    decide_token,
    effective_cap,
    fallback_limit,
    home_of,
    level_now,
    may_grant,
    new_cap_home,
    new_stock,
    possible_homes,
    ready_at,
    spare_tokens,
)
from jacinthsail.internal.queries.freshness import knowledge_age_s

_LOG = logging.getLogger("jacinthsail.caps")

# Requests of one account that wait for a token at this node; further ones are refused.
MAX_WAITING_PER_ACCOUNT = 1000

# At most one line in this time says that an account is at its cap.
LOG_INTERVAL_S = 10.0

# Called with None if the request may run, and otherwise with its refusal.
OnToken = Callable[[RespondLocally | None], None]


class TokenWait:
    """A request that waits for a token; ``cancel`` abandons it."""

    __slots__ = ("account", "on_token")

    def __init__(self, account: Account, on_token: OnToken) -> None:
        self.account = account
        self.on_token: OnToken | None = on_token

    def cancel(self) -> None:
        """Let the token go to another request."""
        self.on_token = None

    def settle(self, refusal: RespondLocally | None) -> None:
        """Report whether the request may run."""
        on_token = self.on_token
        self.on_token = None
        if on_token is None:
            return
        try:
            on_token(refusal)
        except Exception:
            # The event loop would close the connection on which the grant arrived.
            _LOG.exception("unhandled exception after a grant")


class AccountCaps:
    """The caps of accounts at this node: as their home, and for the requests of its callers."""

    def __init__(
        self,
        fleet: FleetState,
        freshness: FreshnessState,
        settings: CapSettings,
        links: PeerLinks,
    ) -> None:
        self.fleet = fleet
        self.freshness = freshness
        self.settings = settings
        self.links = links
        self.loop = asyncio.get_running_loop()
        self.home = new_cap_home(fleet["location"].host, boot_time())
        self.stocks: dict[str, TokenStock] = {}
        self.waiting: dict[str, deque[TokenWait]] = {}
        self.silent_until: dict[str, float] = {}
        self.logged_at: dict[str, float] = {}
        self.homes: dict[str, str | None] = {}
        self.counts: Counter[tuple[str, str]] = Counter()

    def published_changed(self) -> None:
        """Follow the targets and accounts in force; hand over the buckets of other homes."""
        manifest = self.fleet["manifest"]
        if manifest is None or manifest.accounts is None:
            return
        now = boot_time()
        hosts = possible_homes(self.fleet)
        if hosts != self.home["hosts"]:
            self.homes.clear()
            set_members(self.home, hosts, now)
            self._hand_over(now)
        for account in [one for one in self.home["buckets"] if self._cap(one) is None]:
            close_bucket(self.home, account)
        for account in [one for one in self.stocks if self._cap(one) is None]:
            del self.stocks[account]

    def _cap(self, account: str) -> AccountCap | None:
        manifest = self.fleet["manifest"]
        if manifest is None or manifest.accounts is None:
            return None
        found = manifest.accounts.by_name.get(account)
        if found is None or found.cap is None:
            return None
        return effective_cap(found.cap, self.settings)

    def _home_of(self, account: str) -> str | None:
        """Return the home of an account, which is looked up once for each set of hosts."""
        if account not in self.homes:
            self.homes[account] = home_of(account, self.home["hosts"])
        return self.homes[account]

    def _hand_over(self, now: float) -> None:
        for account, bucket in list(self.home["buckets"].items()):
            cap = self._cap(account)
            new_home = self._home_of(account)
            if new_home == self.home["own_host"]:
                continue
            close_bucket(self.home, account)
            if cap is None or new_home is None:
                continue
            _LOG.info("account %s is counted by %s from now on", account, new_home)
            level = level_now(bucket, cap, now)
            self.links.link_to(new_home).send_when_open(BucketTransfer(account, level))

    # --- at the home ---

    def receive_transfer(self, transfer: BucketTransfer) -> None:
        """Go on with the bucket of the former home, which has stopped to grant."""
        cap = self._cap(transfer.account)
        if cap is None or transfer.account in self.home["buckets"]:
            return
        open_bucket(self.home, transfer.account, cap, boot_time(), boot_time())
        record_returned(self.home, transfer.account, cap, int(transfer.level), boot_time())

    def grant(self, account: str, wanted: int, spare: int, returned: int) -> Grant:
        """Return the tokens for a node, and take them out of the bucket."""
        now = boot_time()
        cap = self._cap(account)
        if cap is None or self._home_of(account) != self.home["own_host"]:
            return Grant(0, RETRY_AFTER_UNKNOWN_CAP_S, GrantStatus.NOT_HOME)
        is_proof_needed = self.freshness["revocation_s"] is not None
        if not may_grant(is_proof_needed, knowledge_age_s(self.freshness, now)):
            return Grant(0, RETRY_AFTER_UNKNOWN_CAP_S, GrantStatus.NOT_READY)
        bucket = self._bucket(account, cap, now)
        if bucket is None:
            return Grant(0, RETRY_AFTER_UNKNOWN_CAP_S, GrantStatus.NOT_READY)
        record_returned(self.home, account, cap, returned, now)
        grant = decide_grant(bucket, cap, wanted, spare, now)
        record_grant(self.home, account, cap, wanted, grant, now)
        if grant.status is GrantStatus.OVER_CAP:
            self._log_over_cap(account, cap, now)
        return grant

    def _bucket(self, account: str, cap: AccountCap, now: float) -> TokenBucket | None:
        """Return the bucket of an account, or None while a former home may still grant."""
        bucket = self.home["buckets"].get(account)
        if bucket is not None:
            return bucket
        since = ready_at(self.home, account)
        if since is None or now < since:
            return None
        open_bucket(self.home, account, cap, since, now)
        return self.home["buckets"][account]

    def _log_over_cap(self, account: str, cap: AccountCap, now: float) -> None:
        self.counts[account, "refused"] += 1
        if now - self.logged_at.get(account, float("-inf")) < LOG_INTERVAL_S:
            return
        self.logged_at[account] = now
        _LOG.info(
            "account %s is at its cap of %.1f requests a second, burst %.0f",
            account,
            cap.rate_per_s,
            cap.burst,
        )

    def answer(self, connection: PeerConnection, request: TokenRequest) -> None:
        """Reply to a node that asks for tokens."""
        grant = self.grant(request.account, request.wanted, request.spare, request.returned)
        connection.send(
            TokenGrant(request.account, grant.granted, grant.retry_after_s, grant.status)
        )

    # --- at the node of the caller ---

    def acquire(self, account: Account, on_token: OnToken) -> TokenWait:
        """Find out whether a request may run; the callback may be called before the return."""
        now = boot_time()
        wait = TokenWait(account, on_token)
        stock = self.stocks.get(account.name)
        if stock is None:
            stock = self.stocks[account.name] = new_stock(now)
        record_demand(stock, now)
        expire_tokens(stock, now)
        self._decide(wait, stock, now)
        return wait

    def _decide(self, wait: TokenWait, stock: TokenStock, now: float) -> None:
        home = self._home_of(wait.account.name)
        is_silent = home is None or now < self.silent_until.get(home, 0.0)
        limit = self._fallback_limit(wait.account, now) if is_silent else 0
        decision = decide_token(stock, is_silent, limit, self.settings.window_s, now)
        _apply_decision(decision, self, wait, stock, now)

    def _fallback_limit(self, account: Account, now: float) -> int:
        assert account.cap is not None
        return fallback_limit(account.name, account.cap, self.settings, self.home, now)

    def ask_home(self, wait: TokenWait, stock: TokenStock, now: float) -> None:
        """Let a request wait for a token of the home, which may be this node."""
        name = wait.account.name
        if self._home_of(name) == self.home["own_host"]:
            grant = self.grant(name, 1, 0, stock["unused"])
            record_ask(stock, 1, now)
            self._apply_grant(name, stock, grant, deque([wait]))
            return
        waiting = self.waiting.setdefault(name, deque())
        if len(waiting) >= MAX_WAITING_PER_ACCOUNT:
            wait.settle(RespondLocally(STATUS_NOT_RUN, Reason.CAP_NOT_KNOWN, 1.0))
            return
        waiting.append(wait)
        if not stock["asked"]:
            self._send_request(name, stock, now)

    def _send_request(self, name: str, stock: TokenStock, now: float) -> None:
        home = self._home_of(name)
        if home is None:
            return
        wanted = len(self.waiting[name])
        request = TokenRequest(name, wanted, spare_tokens(stock, now), stock["unused"])
        record_ask(stock, wanted, now)
        self.links.link_to(home).send_when_open(request)
        self.loop.call_later(HOME_TIMEOUT_S, self._on_timeout, name, home, now)

    def _on_timeout(self, name: str, home: str, asked_at: float) -> None:
        stock = self.stocks.get(name)
        if stock is None or not stock["asked"] or stock["asked_at"] != asked_at:
            return
        now = boot_time()
        _LOG.info("home %s of account %s did not reply", home, name)
        self.silent_until[home] = now + HOME_RETRY_S
        record_no_reply(stock)
        self._fall_back(self.waiting.pop(name, deque()), stock, now)

    def _fall_back(self, waiting: deque[TokenWait], stock: TokenStock, now: float) -> None:
        for wait in waiting:
            limit = self._fallback_limit(wait.account, now)
            decision = decide_fallback(stock, limit, self.settings.window_s, now)
            _apply_decision(decision, self, wait, stock, now)

    def receive_grant(self, message: TokenGrant) -> None:
        """Let the requests run that a grant covers, and refuse or hold the others."""
        stock = self.stocks.get(message.account)
        if stock is None:
            return
        grant = Grant(message.granted, message.retry_after_s, message.status)
        waiting = self.waiting.pop(message.account, deque())
        self._apply_grant(message.account, stock, grant, waiting)

    def _apply_grant(
        self, name: str, stock: TokenStock, grant: Grant, waiting: deque[TokenWait]
    ) -> None:
        now = boot_time()
        record_reply(stock, grant, now)
        while waiting and stock["tokens"] > 0 and now < stock["expires_at"]:
            wait = waiting.popleft()
            if wait.on_token is not None:
                spend_token(stock)
                wait.settle(None)
        if grant.status is GrantStatus.OVER_CAP:
            for wait in waiting:
                self.refuse(wait, Reason.ACCOUNT_OVER_CAP, grant.retry_after_s)
            return
        if grant.status is not GrantStatus.GRANTED:
            self._fall_back(waiting, stock, now)
            return
        if waiting:
            # These arrived after the home was asked.
            self.waiting[name] = waiting
            self._send_request(name, stock, now)

    def refuse(self, wait: TokenWait, reason: Reason, retry_after_s: float) -> None:
        """Refuse a request that got no token."""
        status = STATUS_NOT_RUN
        if reason is Reason.ACCOUNT_OVER_CAP:
            status = STATUS_TOO_MANY_REQUESTS
        self.counts[wait.account.name, reason.value] += 1
        wait.settle(RespondLocally(status, reason, retry_after_s))

    def give_back(self, account: Account) -> None:
        """Take back the token of a request that did not run."""
        stock = self.stocks.get(account.name)
        if account.cap is not None and stock is not None:
            record_unused(stock)


@singledispatch
def _apply_decision(
    decision: object, caps: AccountCaps, wait: TokenWait, stock: TokenStock, now: float
) -> None:
    """Execute the decision about a request of an account with a cap."""
    raise NotImplementedError(f"no action for {type(decision).__name__}; register one")


@_apply_decision.register
def _(
    decision: UseToken, caps: AccountCaps, wait: TokenWait, stock: TokenStock, now: float
) -> None:
    spend_token(stock)
    wait.settle(None)


@_apply_decision.register
def _(decision: AskHome, caps: AccountCaps, wait: TokenWait, stock: TokenStock, now: float) -> None:
    caps.ask_home(wait, stock, now)


@_apply_decision.register
def _(
    decision: UseFallback, caps: AccountCaps, wait: TokenWait, stock: TokenStock, now: float
) -> None:
    record_fallback(stock, caps.settings.window_s, now)
    caps.counts[wait.account.name, "without-token"] += 1
    wait.settle(None)


@_apply_decision.register
def _(
    decision: RefuseOverCap, caps: AccountCaps, wait: TokenWait, stock: TokenStock, now: float
) -> None:
    caps.refuse(wait, Reason.ACCOUNT_OVER_CAP, decision.retry_after_s)


@_apply_decision.register
def _(
    decision: RefuseUnknownCap, caps: AccountCaps, wait: TokenWait, stock: TokenStock, now: float
) -> None:
    caps.refuse(wait, Reason.CAP_NOT_KNOWN, decision.retry_after_s)
