"""Choice of the source from which a node learns the changes of the platform's store."""

import asyncio
from random import Random

from attrs import define, field
from basilhill.clocks import Clock
from basilhill.queries.subscribers import feed_hosts, is_subscriber

from basilhill_node.sidecar.commands.apply_updates import ViewUpdater
from basilhill_node.sidecar.commands.follow_feed import FeedEnd, FeedFollower
from basilhill_node.sidecar.commands.publish_feed import FeedPublisher
from basilhill_node.sidecar.commands.read_store import StoreReader
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.state import FollowStage, SidecarSettings, StoreView
from basilhill_node.sidecar.store import HistoryExpiredError, StoreFailedError

# The store allows waits up to 30 s. The wait is long because each request to the store has a price.
WATCH_MS = 25_000
# Pause after a watch that returned changes. Changes often come in groups, and one later watch then
# returns the rest of the group. The pause doubles up to the maximum while changes continue, as when
# a fleet restarts and each server updates its remaining ramp-up time several times. The strictest
# bound for applying a change is 2 s.
COALESCE_MS = 250
COALESCE_MAX_MS = 750
# The pause ends at this age of the last proof that all changes are applied, so that followers of a
# node that reads a slow store do not all check it themselves.
COALESCE_PROOF_AGE_MS = 1_000
RETRY_MIN_MS = 100
RETRY_MAX_MS = 1_000
# Time for which a node that found no feed or got followers reads the store. While a fleet starts,
# each new VM can be the next subscriber, and followers would move with each one.
READER_HOLD_MS = 15_000
# Longest time for which a subscriber that cannot reach the store follows another node.
REFUSED_READER_MS = 15_000
FEED_SPREAD_MS = 100
# Age of the last proof that all changes are applied at which a node checks the store.
CHECK_AGE_MS = 700
# The same for a follower. Frames of a sound reader renew the proof before, and the followers of
# another one do not check all at once.
FEED_CHECK_AGE_MS = 1_550
FEED_CHECK_SPREAD_MS = 150
# Pause after the first check that failed beside a live feed; it doubles up to the maximum.
FAILED_CHECK_PAUSE_MS = 200
FAILED_CHECK_PAUSE_MAX_MS = 5_000
EXPIRY_INTERVAL_S = 0.1
# Pause while no server is listed, as when a whole fleet starts. One watch then returns the
# registrations of many servers, and the node can follow a feed.
COLD_START_S = (1.0, 1.5)


def next_pause_ms(pause_ms: int, events: int, waited_ms: int) -> int:
    """Return the pause after a watch; it doubles if changes came within `COALESCE_MS`."""
    if not events:
        return 0
    if waited_ms > COALESCE_MS:
        return COALESCE_MS
    return min(COALESCE_MAX_MS, max(COALESCE_MS, 2 * pause_ms))


@define(eq=False)
class StoreFollower:
    """Task that keeps the configuration and the server directory in line with the store.

    A few nodes of each data centre read the store; the others follow their feeds and read it only
    at the start, when no feed works, or when this VM may have lost the store.
    """

    settings: SidecarSettings
    reader: StoreReader
    updater: ViewUpdater
    publisher: FeedPublisher
    feeds: FeedFollower
    view: StoreView
    clock: Clock
    log: EventLog
    random: Random = field(factory=Random)
    # Time until which a node that found no feed reads the store.
    reads_until_ms: int = 0
    # Whether this node followed a feed since it last read all items. A feed that failed may have
    # been silent while changes were made, and a feed does not tell which entries are retained.
    followed_feed: bool = False
    # Pause before the next probe of a store that does not respond.
    pause_ms: int = RETRY_MIN_MS
    # Pause after a check that fails beside a live feed.
    check_pause_ms: int = FAILED_CHECK_PAUSE_MS

    def __attrs_post_init__(self) -> None:
        """Connect the feeds: a follower makes this node read the store by itself."""
        self.feeds.contact = self.reader.record_feed
        self.feeds.applied = self.publisher.publish
        self.publisher.wanted = self.feeds.stop

    async def run(self) -> None:
        """Keep the state in line with the store until cancelled, through a feed where possible."""
        probing = asyncio.create_task(self.regain_access())
        try:
            await self.keep_current()
        finally:
            probing.cancel()

    async def keep_current(self) -> None:
        """Learn the changes of the store from one source after the other."""
        read_all = True
        # Why the store is lost, empty while it responds.
        loss = ""
        while True:
            try:
                if loss:
                    self.reader.record_loss(loss)
                    self.publisher.end("the store is unreachable")
                    loss = ""
                    read_all = not await self.wait_for_store()
                if read_all or self.feeds.store_in_doubt:
                    self.feeds.store_in_doubt = False
                    await self.read()
                    read_all = False
                if not self.reads_store():
                    ended = await self.follow()
                    if ended is not FeedEnd.NOT_BEGUN:
                        read_all = ended is FeedEnd.FAILED
                        continue
                    self.log.record("feed", "none found")
                    self.reads_until_ms = self.clock.now_ms() + READER_HOLD_MS
                if self.followed_feed:
                    await self.read()
                await self.watch()
            except HistoryExpiredError as error:
                read_all = True
                self.log.record("store", "history expired, reading all items", reason=str(error))
            except StoreFailedError as error:
                loss = str(error)
            except Exception as error:
                # A node whose state no longer follows the store would serve an old configuration,
                # and so would its followers.
                read_all = True
                self.log.record("store", "following failed", problem=repr(error))
                self.publisher.end("following the store failed")
                self.view.source = ""
                await asyncio.sleep(RETRY_MAX_MS / 1000)

    async def read(self) -> None:
        """Read all items of the store."""
        await self.reader.read()
        self.followed_feed = False
        self.pause_ms = RETRY_MIN_MS
        self.check_pause_ms = FAILED_CHECK_PAUSE_MS

    def reads_store(self) -> bool:
        """Return whether this node reads the store by itself instead of following a feed."""
        directory, settings = self.updater.directory, self.settings
        return (
            self.publisher.is_wanted
            or self.clock.now_ms() < self.reads_until_ms
            # Only this node knows when the entries that it retains expire.
            or bool(directory.retained_until_ms)
            or is_subscriber(directory, settings.data_centre, settings.address)
        )

    async def follow(self) -> FeedEnd:
        """Follow the feed of another node until it ends; return how it ended."""
        settings = self.settings
        hosts = feed_hosts(self.updater.directory, settings.data_centre, settings.address)
        for host in self.feeds.working_first(hosts):
            self.reader.enter(FollowStage.ASKING, host=host)
            age_ms = FEED_CHECK_AGE_MS + self.random.uniform(0, FEED_CHECK_SPREAD_MS)
            ended = await self.reader.while_verified(
                self.feeds.follow(host), age_ms, self.check_beside_feed
            )
            if ended is not FeedEnd.NOT_BEGUN:
                self.followed_feed = True
                # Followers of one node do not all turn to the next one at once.
                await asyncio.sleep(self.random.uniform(0, FEED_SPREAD_MS) / 1000)
                return ended
            if self.publisher.is_wanted:
                break
        return FeedEnd.NOT_BEGUN

    async def check_beside_feed(self) -> None:
        """Check the store, and pause if it cannot answer while a feed is live.

        The sender of the feed may know more: it ends the feed when it loses the store itself. Only
        a lost history that the sender does not make up for is an error.
        """
        try:
            await self.reader.check()
        except (StoreFailedError, HistoryExpiredError) as error:
            if not self.feeds.is_live:
                raise
            failed_before = self.check_pause_ms > FAILED_CHECK_PAUSE_MS
            if failed_before and isinstance(error, HistoryExpiredError):
                raise
            self.log.record("store", "check failed beside a feed", reason=str(error))
            pause_ms = self.check_pause_ms * self.random.uniform(0.5, 1.0)
            self.check_pause_ms = min(2 * self.check_pause_ms, FAILED_CHECK_PAUSE_MAX_MS)
            await asyncio.sleep(pause_ms / 1000)
        else:
            self.check_pause_ms = FAILED_CHECK_PAUSE_MS

    async def regain_access(self) -> None:
        """Probe the store, whenever it does not respond to this node, until it does.

        This node may follow a feed meanwhile. Peers use the server of a VM without access even if
        its entry has been removed.
        """
        while True:
            await self.reader.no_access.wait()
            await asyncio.sleep(self.pause_ms * self.random.uniform(0.5, 1.0) / 1000)
            self.pause_ms = min(2 * self.pause_ms, RETRY_MAX_MS)
            try:
                await self.probe()
            except Exception as error:
                # Without this task, a node would not read the store again after an outage.
                self.log.record("store", "probing failed", problem=repr(error))

    async def probe(self) -> None:
        """Record whether the store responds."""
        started_ms = self.clock.now_ms()
        try:
            revision = await self.reader.store.probe()
        except StoreFailedError as error:
            if not self.feeds.is_live:
                self.view.failed_ms = started_ms
            self.log.record("store", "still lost", reason=str(error))
        else:
            self.log.record("store", "responds again", revision=revision)
            self.reader.record_access(True)

    async def wait_for_store(self) -> bool:
        """Wait until the store responds to a probe or a feed has ended.

        Return whether a feed has ended while it was up to date, so that nothing need be read.

        A subscriber follows a feed only for a limited time, so that it reads the store again.
        """
        responding = asyncio.create_task(self.reader.access.wait())
        try:
            while not responding.done():
                limit_s = REFUSED_READER_MS / 1000 if self.reads_store() else None
                ended = await self.follow_unless(responding, limit_s)
                if ended is not FeedEnd.NOT_BEGUN:
                    return ended is FeedEnd.CURRENT
                self.reader.enter(FollowStage.WAITING)
                await asyncio.wait({responding}, timeout=self.pause_ms / 1000)
        finally:
            responding.cancel()
        return False

    async def follow_unless(self, responding: asyncio.Task, limit_s: float | None) -> FeedEnd:
        """Follow a feed for at most `limit_s`, and ask for none once the store responds."""
        following = asyncio.create_task(self.follow())
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.wait({following, responding}, return_when=asyncio.FIRST_COMPLETED)
                if self.feeds.is_live:
                    await asyncio.wait({following})
        except TimeoutError:
            self.log.record("feed", "left to read the store", after_s=limit_s)
        finally:
            if not following.done():
                following.cancel()
                await asyncio.gather(following, return_exceptions=True)
        return FeedEnd.NOT_BEGUN if following.cancelled() else following.result()

    async def watch(self) -> None:
        """Apply changes as they arrive, until the store fails or another node reads it."""
        pause_ms = 0
        self.reader.enter(FollowStage.WATCHING)
        if not self.updater.directory.entries:
            await asyncio.sleep(self.random.uniform(*COLD_START_S))
        while True:
            earliest_expiry_ms = min(
                self.updater.directory.retained_until_ms.values(), default=None
            )
            wait_ms = WATCH_MS
            if earliest_expiry_ms is not None:
                # Then this node can follow a feed again.
                wait_ms = max(1, min(WATCH_MS, earliest_expiry_ms - self.clock.now_ms()))
            if self.publisher.pending:
                # Shows immediately whether the store responds.
                wait_ms = 1
            started_ms = self.clock.now_ms()
            changes = await self.reader.watch(wait_ms, CHECK_AGE_MS)
            now_ms = self.clock.now_ms()
            if not self.updater.directory.retained_until_ms and self.yields_to_subscribers():
                return
            pause_ms = next_pause_ms(pause_ms, changes, now_ms - started_ms)
            await self.pause(pause_ms)

    async def pause(self, pause_ms: int) -> None:
        """Wait before the next watch, so that it returns a group of changes."""
        longest_ms = self.view.verified_ms + COALESCE_PROOF_AGE_MS
        ends_ms = min(self.clock.now_ms() + pause_ms, longest_ms)
        await asyncio.sleep(max(0, ends_ms - self.clock.now_ms()) / 1000)

    def expire_retained(self) -> None:
        """Remove the retained entries that were not registered again in time.

        Also list the entries that a copy of the store brought back and that have not expired. This
        is done by a timer, since a node can follow a feed before then.
        """
        now_ms = self.clock.now_ms()
        if self.updater.expire(now_ms) | self.updater.list_settled(now_ms):
            self.publisher.publish(self.view.position)

    def yields_to_subscribers(self) -> bool:
        """Send followers of a node that is no subscriber to the subscribers of the data centre.

        Return whether this node stops reading the store.
        """
        settings, directory = self.settings, self.updater.directory
        now_ms = self.clock.now_ms()
        serving_since_ms = self.publisher.serving_since_ms
        if now_ms < self.reads_until_ms or (
            self.publisher.followers and now_ms - serving_since_ms < READER_HOLD_MS
        ):
            return False
        if is_subscriber(directory, settings.data_centre, settings.address):
            return False
        self.publisher.end("other nodes read the store")
        return True
