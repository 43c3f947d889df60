"""The decision module of harriertide. Its interface, types, events and actions, is harriertide/decide/api.py.

The ordinary path: every round each head tells the shard's keeper (a head found by a stable hash, the next
is its standby) the units offered to it and served through it, the bid, and hears the sums; it takes a
demand-proportional slice of what a pressured shard can do, the worth most first, and admits by percent
thinning. Admitted requests wait for room under the bound and leave earliest due first."""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from math import ceil, log
from random import Random
from zlib import crc32

from harriertide.decide import api
from harriertide.decide.leases import CALL_US, LIFE_US, Credit, Leases
from harriertide.decide.peer_messages import ASK, BID, CALL, GIFT, GRANT, PROOF_US, SUM, decode, encode
from harriertide.decide.state import Cell, Line, Node, Placements, Request, Store, Tally, Volume, drop_until

# Rounds and bids
ROUND_US = 300_000  # between bids; the page's 2 s lets a surge of 5 to 15 s run wild too long
BID_LIFE_US = 3_200_000  # lost bids and sums are bridged by the last ones so long (thesis, 5.6)
SMOOTH = 0.5  # weight of the newest round in the demand figures; bids are noisy, surges quick
REST_US = 60_000_000  # volumes without demand, users of shards, places of objects: forgotten after so long
BID_LEAST = 0.1  # demand, in mean requests a second, below which a head bids no more
LEAD = 2.0  # even parts of a volume's dues that each of its heads counts on: the lead uses more
WARN_US = 1_000_000  # between sums of a pressured shard to all heads that use it, asked or not
# Learned capacity
SAMPLE = 0.15  # weight of one answer in the running latency figures
PRESS_AIM = 0.5  # answers that take this part of their aim, waiting included: pressure
EASE_AIM = 0.35  # below this part the pressure is off again
LEARN_UP, LEARN_DOWN = 0.5, 0.2  # weight of a pressured round's figure, quicker up than down
GROW = 1.05  # a pressured shard that serves all it was given may do a little more
# Admission
TARGET = 1.05  # let in over learned rate: slightly over, so that a rate learned too low can rise
RELIEF = 0.5  # how much lower the target is for each aim that answers take beyond EASE_AIM
BANDS = 6  # classes of worth that are let in in turn
BAND_STEP = 2.2  # worth of a band over that of the next
SHARE_PART = 0.9  # of a shard's rate is dealt out by weight
# Bound and queue
BOUND_PART = 0.2  # part of the tightest aim that work out at a node may take
NODE_FEW = 4  # requests of all heads that a pressured node may always hold, dealt out like its rate
FEW = 2  # requests that may always be out: less would leave a two-core node idle
CEILING = 32  # requests out at a node, whatever was learned
LIMIT_PART = 0.5  # part of an aim by which a request's limit lets it go: what waits longer comes late
HOLD_PART = 0.3  # part of the aims that held work may need before the least worth is given up
LOOK_US = 10_000  # how often held work is looked at, and only where some is held
LOOKS, NEAR = 4, 8  # even parts of the nodes that a head looks at for a new object; shards it looks among
# Health and further attempts
SILENT_STREAK = 3  # attempts in a row that ended without a sign of life
TRIAL_US = 250_000  # between single trial requests at a silent node, or probes
TRIAL_HEADS = 4  # heads that probe it so often; more of them probe as much the less
OVERTAKEN = 2  # answers of a node to what it was sent later, after which an attempt there may be lost
PATIENCE = 5.0  # and latest latencies there, by size, that it has lasted
MARGIN_US = 50_000  # kept to the end of a repeat window
# Backoff of calls to the list (platform/discovery.py). For each head: the first wait, first calls' spread
ASK_FIRST_US, ASK_MOST_US, CALL_FIRST_US, CALL_SPREAD_US = 400_000, 2_000_000, 6_000, 12_500
FEW_PROVEN = 0.5  # mean requests that the safe units stand for among the answers of a cold node
PROOF = 16  # large requests' worth of answers that tell what a cold node can do by now
SECOND = 1_000_000


class Scheduler:
    """The decisions of one head: pure, fed with events, answering with actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._s = settings
        self._random = Random(seed)
        self._started = -1
        self._actions: list[api.Action] = []
        self._requests: dict[str, Request] = {}
        self._nodes: dict[str, Node] = {}
        self._cells: dict[int, Cell] = {}
        self._lines: dict[str, Line] = {}
        self._volumes: dict[int, Volume] = {}
        self._active: dict[int, Cell] = {}  # shards with demand here
        self._touched: dict[int, Cell] = {}  # shards where held work may go now
        self._tallies: dict[int, Tally] = {}  # kept here for all heads, by shard
        self._resting: dict[int, int] = {}  # volumes: since when without demand, longest first
        self._placed = Placements()
        self._lost: dict[str, int] = {}  # nodes that are off the list: since when, longest first
        self._notes: dict[tuple[int, int], list[tuple[int, list[float]]]] = {}
        self._later: list[tuple[int, int, Request | Cell | Leases | str | None]] = []
        self._now = self._count = self._wake_us = self._round_us = self._round_end = 0
        self._usual: list[float] = []
        self._leases: Leases | None = None
        self._settle(settings)
        self._taken: deque[int] = deque()
        self._extra: deque[int] = deque()

    def _settle(self, settings: api.Settings) -> None:
        """Take new figures; classes and plans keep their places, new ones come after them."""
        if not settings.same_brokers(self._s):
            # Heads may be others now, with other keepers. What these gave of cold nodes counts as all of it.
            self._leases = None
            for volume in self._volumes.values():  # nor is it known what they sent of its limit
                volume.limit, volume.credit = Store(0.0, self._now), Credit()
            self._tallies.clear()
            for node in self._nodes.values():
                node.given.append((self._now, self._bears(node)))
                node.gift.void()
        self._s = settings
        self._alone = settings.broker_count == 1 or not settings.peer_messages_allowed
        if self._alone or not any(plan.rate_limit > 0 for plan in settings.plans):
            self._leases = None
        elif self._leases is None and self._started >= 0:  # it abstains from its start on
            self._leases = Leases(settings.broker_index, settings.broker_count, self._now)
            self._at(self._now, self._leases)
        # each keeper's part of what a cold node bears; under a large request it serves nobody: one has all
        small = settings.slow_start_units < 2 * settings.max_request_units
        self._part = 1.0 / settings.broker_count if self._alone else 1.0 if small else 0.5
        # deterministic subsetting: each turn of heads deals out all shards once, in an order of its own
        size = min(
            settings.shard_count, max(NEAR, ceil(LOOKS * settings.shard_count / settings.broker_count))
        )
        turn, place = divmod(settings.broker_index, settings.shard_count // size)
        order = Random(turn).sample(range(settings.shard_count), settings.shard_count)
        self._near = frozenset(order[place * size :][:size])
        self._usual += [0.0] * (len(settings.classes) - len(self._usual))
        self._ask_most = max(ASK_FIRST_US, min(ASK_MOST_US, settings.poll_interval_us // 2))
        first_us = max(ASK_FIRST_US, CALL_FIRST_US * settings.broker_count)
        self._ask_wait = self._ask_first = min(self._ask_most, first_us)
        self._aim = min(kind.latency_objective_us for kind in settings.classes)
        self._top = (
            max(k.priority_weight * p.priority_factor for k in settings.classes for p in settings.plans)
            or 1.0
        )
        fills = [int(SECOND * p.burst_limit_units / p.rate_limit) for p in settings.plans if p.rate_limit > 0]
        self._rest_us = max(REST_US, *fills, 0)  # after so long all stores of a volume are full again

    def decide(self, now_us: int, events: list[api.Event]) -> list[api.Action]:
        """Take what has happened by now; return what to do, in order."""
        self._now = max(now_us, self._now)
        self._actions = []
        if self._started < 0:
            self._started = self._round_us = self._now
            self._settle(self._s)
            # heads that start together do not bid together
            self._round_end = self._now + int(ROUND_US * (0.5 + self._random.random()))
            if self._s.polls_endpoint_list:
                spread_us = min(CALL_SPREAD_US * self._s.broker_count, self._ask_most)
                self._at(self._now + int(self._random.random() * spread_us), None)
        for event in events:
            if isinstance(event, api.Arrival):
                self._arrive(event)
            elif isinstance(event, api.AttemptFinished):
                self._outcome(event)
            elif isinstance(event, api.EndpointUpdate):
                self._list(event)
            elif isinstance(event, api.PeerMessageReceived):
                self._hear(event)
            elif isinstance(event, api.ResponseStarted) and event.request_id in self._requests:
                self._requests[event.request_id].begun = True
            elif isinstance(event, api.ProbeFinished) and event.node_id in self._nodes and event.kind == "ok":
                # it lives; what it does with requests is another matter: one more without a sign ends that
                self._alive(self._nodes[event.node_id], SILENT_STREAK - 1)
            elif isinstance(event, api.ClientDisconnected) and event.request_id in self._requests:
                self._close(self._requests[event.request_id])
            elif isinstance(event, api.SettingsChanged):
                self._settle(event.settings)
        if self._now >= self._round_end:
            self._close_round()
        self._run_later()
        while self._touched:
            self._dispatch(self._touched.pop(next(iter(self._touched))))
        for (head, kind), rows in self._notes.items():
            self._actions += [api.SendPeerMessage(head, body) for body in encode(kind, rows)]
        self._notes.clear()
        self._arm()
        return self._actions

    def learned_capacity_by_node(self) -> dict[str, float]:
        """The learned capacity of the live nodes of overloaded shards, in units a second, by node id."""
        return {
            node.id: cell.capacity / len(cell.nodes)
            for cell in self._cells.values()
            if cell.tight
            for node in cell.nodes.values()
            if node.live
        }

    # --- 1. Rounds and bids ------------------------------------------------------------------

    def _close_round(self) -> None:
        """Figures of the round that ended, and the bids: on what has demand here, nothing else."""
        span = (self._now - self._round_us) / SECOND
        self._round_us, self._round_end = self._now, self._now + ROUND_US
        least = BID_LEAST * self._s.mean_request_units
        for cell in list(self._active.values()):
            for band in range(BANDS):
                cell.demand[band] += SMOOTH * (cell.offer[band] / span - cell.demand[band])
                cell.offer[band] = 0.0
            figures = [*cell.demand, cell.served / span, cell.strained / span, sum(cell.weights.values())]
            cell.served = cell.strained = 0.0
            cell.weights.clear()
            self._touched[cell.shard] = cell
            if sum(cell.demand) < least and not cell.queue and not cell.tight:
                del self._active[cell.shard]
                cell.demand = [0.0] * BANDS
                continue
            self._slice(cell)
            keeper = self._keepers(cell.shard)[cell.bids % 2]  # the standby where the last had no answer
            cell.bids += 1
            self._say(keeper, BID, cell.shard, [*figures, cell.capacity])
        self._forget()

    def _forget(self) -> None:
        """Let go of what can't matter any more: a volume's stores are full, a node's cold time is over."""
        self._placed.forget(self._now - REST_US)
        if self._leases:
            self._leases.forget(self._now - self._rest_us)
        while self._resting and self._now - next(iter(self._resting.values())) > self._rest_us:
            volume = next(iter(self._resting))
            del self._resting[volume], self._volumes[volume]
        lost_us = self._now - self._s.slow_start_us - self._s.collapse_window_us - SECOND
        while self._lost and next(iter(self._lost.values())) < lost_us:
            node = self._nodes.pop(next(iter(self._lost)))
            del self._lost[node.id], self._cells[node.shard].nodes[node.id]

    def _keepers(self, key: int) -> tuple[int, int]:
        """The head that sums up the bids on a shard, and its standby: the same at every head."""
        first = self._s.broker_index if self._alone else crc32(b"%d" % key) % self._s.broker_count
        return first, first if self._alone else (first + 1) % self._s.broker_count

    def _say(self, head: int, kind: int, key: int, figures: list[float]) -> None:
        """One row for another head, sent at the end of this call with all others; own rows at once."""
        if head == self._s.broker_index:
            self._row(head, kind, key, figures)
        else:
            self._notes.setdefault((head, kind), []).append((key, figures))

    def _hear(self, note: api.PeerMessageReceived) -> None:
        """Take a peer's rows. Junk, other versions, unknown heads and absurd figures: no effect."""
        kind, rows = decode(note.body)
        if (
            0 <= note.sender_index < self._s.broker_count
            and note.sender_index != self._s.broker_index
            and not self._alone
        ):
            for key, figures in rows:
                self._row(note.sender_index, kind, key, figures)

    def _row(self, head: int, kind: int, key: int, figures: list[float]) -> None:
        """One row: to a keeper (bid, ask) or from one (sum, gift); others are not heeded."""
        if kind >= CALL:  # between heads that share limits
            plans, counts = self._s.plans, list(map(int, figures))
            answer = self._leases.hear(self._now, head, kind, key, counts, plans) if self._leases else None
            if answer is not None:
                self._say(head, *answer)
            elif kind == GRANT and key in self._volumes and self._volumes[key].waiting:
                volume = self._volumes[key]
                rate = plans[volume.waiting[0].arrival.plan].rate_limit
                if volume.credit.take(self._now, counts[0], counts[1], rate):
                    for request in volume.waiting:
                        self._at(self._now, request)
            return
        if key >= self._s.shard_count or (
            self._s.broker_index if kind in (BID, ASK) else head
        ) not in self._keepers(key):
            return
        if kind in (ASK, GIFT) and key in self._cells:
            self._gift(head, kind, key, figures)
        elif kind == BID:
            tally = self._tallies.setdefault(key, Tally([0.0] * 9))
            tally.put(head, self._now, figures[:9], BID_LIFE_US, REST_US)
            if not tally.learned:  # a keeper that has restarted, or a standby: what the bidders know
                tally.capacity = max(tally.capacity, figures[9])
            if self._now >= tally.learn_us:
                tally.learn_us = self._now + ROUND_US
                tally.strain += SMOOTH * (min(2.0, tally.sums[7] / max(0.01, tally.sums[6])) - tally.strain)
                self._learn(tally, self._cells.get(key))
            state = tally.learned + 2 * tally.pressed
            row = [*tally.sums[:6], tally.capacity, tally.sums[8], tally.strain, state]
            self._say(head, SUM, key, row)
            if tally.pressed != tally.warned or (tally.pressed and self._now >= tally.warn_us):
                # those who meet the shard now and then would each find out by what they lose there
                tally.warned, tally.warn_us = tally.pressed, self._now + WARN_US
                for other in tally.users.keys() - {head, self._s.broker_index}:
                    self._say(other, SUM, key, row)
        elif kind == SUM and key in self._cells:
            cell = self._cells[key]
            cell.bids, cell.heard_us, cell.totals = 0, self._now, figures[:6]
            cell.capacity, cell.weight_sum, cell.strain_all = figures[6:9]
            cell.learned, cell.pressed = round(figures[9]) % 2 == 1, figures[9] > 1.5
            self._slice(cell)
            self._touched[key] = cell

    # --- 2. Learned capacity -----------------------------------------------------------------

    def _learn(self, tally: Tally, cell: Cell | None) -> None:
        """A pressured shard does what is served there through all heads, a cold one what it bears."""
        live = [node for node in cell.nodes.values() if node.live] if cell is not None else []
        if live and all(self._cold(node) for node in live):
            tally.capacity = sum(map(self._bears, live)) * SECOND / max(1, self._s.collapse_window_us)
            tally.learned, tally.pressed = True, sum(tally.sums[:BANDS]) > tally.capacity
            return
        total = tally.sums[6]
        tally.pressed = tally.strain > (EASE_AIM if tally.pressed else PRESS_AIM)
        if not tally.pressed:
            tally.capacity = max(tally.capacity, total)
        elif not tally.learned:
            tally.capacity, tally.learned = max(tally.capacity, total * 1.25), total > 0
        else:
            gain = LEARN_UP if total > tally.capacity else LEARN_DOWN
            # one mean request a second still goes where nothing comes back, to see when it does
            tally.capacity = max(self._s.mean_request_units, tally.capacity + gain * (total - tally.capacity))
            if total > SHARE_PART * tally.capacity:
                tally.capacity *= GROW

    def _slice(self, cell: Cell) -> None:
        """This head's slice: demand-proportional, the bands worth most first."""
        # where a head offers less than a request a second, figures are rough and each sends one at least
        relief = RELIEF * (2 if sum(cell.totals) < self._s.broker_count * self._s.mean_request_units else 1)
        left = pool = (TARGET - relief * min(0.7, max(0.0, cell.strain_all - EASE_AIM))) * cell.capacity
        own = sum(cell.demand)
        if not cell.learned and self._now - cell.heard_us > BID_LIFE_US:  # fresh, or never told of its rate
            cell.rate = pool / self._s.broker_count
        else:  # lost sums are bridged by the last ones: an even slice of hundreds of heads serves nobody
            cell.rate = 0.0
            for band, total in enumerate(cell.totals):
                take = min(left, total)
                left -= take
                cell.chance[band] = take / total if total > 0 else min(1.0, left)
                cell.rate += cell.chance[band] * cell.demand[band]
            cell.rate += left * min(1.0, own / max(0.01, sum(cell.totals)))

    # --- 3. Admission ------------------------------------------------------------------------

    def _arrive(self, event: api.Arrival) -> None:
        """Take a request: weigh it, count it as offered, admit it or answer at once."""
        kind = self._s.classes[event.request_class]
        due_us = min(self._now + kind.latency_objective_us, event.deadline_at_us - self._s.tick_us)
        key = crc32(event.volume.encode())
        if key not in self._volumes:
            part = min(1.0, LEAD / max(1, event.sharing_broker_count))
            # the limit's part starts as just spent: a head may have restarted
            stores = Store(self._s.max_request_units, self._now), Store(0.0, self._started)
            self._volumes[key] = Volume(key, part, *stores)
        self._resting.pop(key, None)
        self._resting[key] = self._now
        load = event.units * self._aim / kind.latency_objective_us
        request = Request(event.request_id, kind, event, self._volumes[key], self._now, due_us, load)
        self._requests[request.id] = request
        if self._s.retry_budget_floor is not None:
            self._taken.append(self._now)
        self._at(event.deadline_at_us - self._s.tick_us, request)
        if kind.in_order and event.key:
            request.line = self._lines.setdefault(event.key, Line())
            request.line.members.append(request)
        cell = self._place(event.units) if event.shard < 0 else self._cells.get(event.shard)
        if cell is None or event.deadline_at_us <= self._now + self._s.tick_us:
            self._give_up(request)
            return
        request.cell = cell
        self._active[cell.shard] = cell
        self._weigh(request, cell)
        cell.offer[request.band] += event.units
        dark = not any([self._fit(node) for node in cell.nodes.values()])
        # percent thinning: the part of what all heads are offered, by worth, that the shard can do
        thinned = cell.tight and self._random.random() >= cell.chance[request.band]
        # what waits for its limit until its aim is near comes late, and holds up the next
        if dark or thinned or self._limit_wait(request) > LIMIT_PART * kind.latency_objective_us:
            self._give_up(request)
            return
        if request.line is None or request.line.members[0] is request:
            self._hold(request)

    def _weigh(self, request: Request, cell: Cell) -> None:
        """Worth a unit, by class, plan and what is still due to the volume, as seen from here."""
        event, plan, volume = request.arrival, self._s.plans[request.arrival.plan], request.volume
        weight = cell.weights[event.volume] = plan.weight * volume.part
        rate = SHARE_PART * cell.capacity * weight / max(cell.weight_sum, plan.weight)
        reserve, share = volume.reserve, volume.shares.setdefault(cell.shard, Store(rate, self._now))
        # a store may fall below 0 by its last request: parts under one request would else never do
        reserve.fill(self._now, plan.reserved_rate * volume.part, plan.reserved_rate * volume.part)
        share.fill(self._now, rate, rate)
        if reserve.units > 0:
            request.store, due = reserve, 1.0
        elif share.units > 0:
            request.store, due = share, self._s.within_quota_weight
        else:
            due = self._s.beyond_quota_weight
        if request.store is not None:
            request.store.units -= event.units
        # a client's repeat belongs to its first try, and is late for that
        due *= request.kind.late_priority_weight if event.is_retry else 1.0
        value = request.kind.priority_weight * plan.priority_factor * due / self._top
        request.band = min(BANDS - 1, int(-log(value) / log(BAND_STEP))) if value > 0 else BANDS - 1

    # --- 4. Bound and queue ------------------------------------------------------------------

    def _hold(self, request: Request) -> None:
        """Queue an admitted request; where more is held than can be in time, the least worth goes."""
        cell = request.cell
        assert cell is not None
        if not cell.nodes:  # they went while it waited for its turn
            self._give_up(request)
            return
        self._count += 1
        heappush(cell.queue, (request.due_us, self._count, request))
        self._touched[cell.shard] = cell
        request.held = True
        line = cell.by_band[request.band]
        while line and not line[0].held:
            line.popleft()
        line.append(request)
        cell.load += request.load
        few = (
            FEW * self._s.mean_request_units
        )  # what its room there gets through in that part, by Little's law
        best = min(cell.nodes.values(), key=lambda n: (not n.live, n.out))
        latency = max(1.0, self._usual[request.arrival.request_class] * best.fast)
        most = max(2 * few, max(few, best.out_units) * HOLD_PART * self._aim / latency)
        for line in reversed(cell.by_band):
            while line and cell.load > most:
                victim = line.popleft()
                if victim.held and victim.cell is cell:
                    self._give_up(victim)

    def _unhold(self, request: Request) -> None:
        if request.held and request.cell is not None:
            request.held = False
            request.cell.load = max(0.0, request.cell.load - request.load)

    def _dispatch(self, cell: Cell) -> None:
        """Send held requests, earliest due first, as far as the bound lets them."""
        while cell.queue:
            request = cell.queue[0][2]
            if not request.held or request.cell is not cell:
                heappop(cell.queue)
                continue
            node = self._pick(cell, request)
            # with nothing out there the last latency is old news: one goes, so that it can mend
            pace = node.fast if node is not None and node.out else min(1.0, node.fast if node else 1.0)
            expected = pace * self._usual[request.arrival.request_class]
            if self._now + expected > request.due_us or not any(n.live for n in cell.nodes.values()):
                heappop(cell.queue)
                self._give_up(request)
                continue
            if node is not None and self._send(request, node):
                heappop(cell.queue)
                self._unhold(request)
            elif request.held:
                if cell.look_us <= self._now:  # again soon, also without news of the shard
                    cell.look_us = self._now + max(LOOK_US, self._s.tick_us)
                    self._at(cell.look_us, cell)
                return

    def _pick(self, cell: Cell, request: Request) -> Node | None:
        """The fit node of the shard with the least out, if it has room under the bound."""
        best: Node | None = None
        bound = max(cell.capacity * BOUND_PART * self._aim / SECOND, NODE_FEW * self._s.mean_request_units)
        bound *= min(1.0, cell.rate / max(0.1, TARGET * cell.capacity))
        for node in cell.nodes.values():
            if not self._fit(node):
                continue
            room = node.out < (1 if cell.tight else FEW) or node.out_units + request.arrival.units <= bound
            if (node.silent or (room and node.out < CEILING)) and (best is None or node.out < best.out):
                best = node
        return best

    # --- 5. Placement of new objects ---------------------------------------------------------

    def _place(self, units: float) -> Cell | None:
        """The shard with the least waiting, counted in its own speed; later reads will follow.

        A head looks at a few of its near shards, drawn anew: all would meet at the best, or first. Its near
        ones stay the same, so that it has connections there, which cost a node work for each object else.
        """
        places = ((cell, node) for cell in self._cells.values() for node in cell.nodes.values())
        fit = [place for place in places if place[1].live and not place[1].silent]
        if not self._alone:
            looks = max(2, ceil(LOOKS * len(fit) / self._s.broker_count))
            near = [place for place in fit if place[0].shard in self._near]
            fit = self._random.sample(near if len(near) >= looks else fit, min(len(fit), looks))

        def waiting(place: tuple[Cell, Node]) -> float:
            cell, node = place
            score = (cell.load + node.out_units + units) * node.fast + sum(cell.totals) / self._s.broker_count
            return score * (4 if cell.strain > PRESS_AIM or self._cold(node) else 1)

        return min(fit, key=waiting)[0] if fit else None

    # --- 6. Health, time-outs, further attempts ----------------------------------------------

    def _list(self, event: api.EndpointUpdate) -> None:
        """Follow the node list; ask again, with backoff, after a failed call."""
        if event.kind == "failed":
            if self._s.polls_endpoint_list:  # jitter, as hundreds are turned away together
                self._at(self._now + int(self._ask_wait * (0.5 + 0.5 * self._random.random())), None)
                self._ask_wait = min(self._ask_most, 2 * self._ask_wait)
            return
        self._ask_wait = self._ask_first
        if event.kind != "delta":
            named = {entry.node_id for entry in event.entries}
            for known in self._nodes.values():
                if known.id not in named:
                    known.live = False
                    self._lost.setdefault(known.id, self._now)
                    self._touched[known.shard] = self._cells[known.shard]
        for entry in event.entries:
            node = self._nodes.setdefault(entry.node_id, Node(entry.node_id, entry.shard, entry.zone))
            if node.started_us != entry.started_us or node.shard != entry.shard:
                if node.shard in self._cells:
                    self._cells[node.shard].nodes.pop(node.id, None)
                node.shard, node.zone = entry.shard, entry.zone
                node.start(entry.started_us)
                if self._now - self._started <= self._s.collapse_window_us + LIFE_US:
                    # a head that has restarted may have given its part just before
                    node.given.append((self._now, self._bears(node)))
            cell = self._cells.setdefault(entry.shard, Cell(entry.shard, BANDS, self._now - BID_LIFE_US))
            cell.nodes[entry.node_id] = node
            node.live = entry.state == "live"
            if entry.state == "gone":
                self._lost.setdefault(node.id, self._now)
            else:
                self._lost.pop(node.id, None)
            self._touched[entry.shard] = cell

    def _outcome(self, event: api.AttemptFinished) -> None:
        """Book how an attempt ended, and how long; try again where that is allowed and can be in time."""
        request = self._requests.get(event.request_id)
        if request is None or event.attempt not in request.out:
            return
        node, sent_us = request.out.pop(event.attempt)
        node.out -= 1
        node.out_units -= request.arrival.units
        node.flying.pop(request, None)
        cell = request.cell
        assert cell is not None
        if event.kind not in api.NOT_EXECUTED_OUTCOMES and (
            request.maybe_us == 0 or sent_us < request.maybe_us
        ):
            request.maybe_us, request.maybe_node = sent_us, node
        if request.line is not None and event.kind in ("timeout", "reset", "cancelled"):
            request.line.rest_us = self._now + self._s.key_quiet_us + self._s.tick_us
        self._health(event, node)
        self._touched[cell.shard] = self._active[cell.shard] = cell
        # no sign of life is no figure of how busy a node is: it counts like a 'full', however long it took
        plain = event.kind == "rejected" or event.kind in api.UNRESPONSIVE_OUTCOMES
        took = 1.0 if plain else (self._now - request.taken_us) / request.kind.latency_objective_us
        if event.kind != "cancelled":
            cell.strained += request.arrival.units * min(2.0, took)
            cell.strain += SAMPLE * (took - cell.strain)
        if event.kind == "ok":
            self._overtake(node, sent_us)
            cell.served += request.arrival.units
            if request.arrival.shard < 0 and request.maybe_node is node:  # the first that may have taken it
                self._placed.put(request.arrival.key, node.shard, self._now)
            if self._cold(node):
                node.answered += request.arrival.units
                node.answered_us += event.latency_us
            cls, took_us = request.arrival.request_class, event.latency_us
            usual = self._usual[cls] or float(max(1, took_us))
            # low running figure: one step down outweighs three up, so it rests near the lower quarter
            self._usual[cls] = usual * (1.02 if took_us > usual else 0.94)
            node.fast += SAMPLE * (took_us / usual - node.fast)
        arrival = self._placed.elsewhere(request.arrival) if event.kind == "not_sent" else request.arrival
        if event.is_final or request.over:
            self._close(request)
        elif arrival and self._may_retry(request) and cell.nodes and self._now < request.due_us:
            if arrival is not request.arrival:  # it named a shard that did not take its object
                request.arrival, request.cell = arrival, self._cells[arrival.shard]
            elif request.arrival.shard < 0 and request.kind.idempotency == "idempotent":
                request.cell = self._place(request.arrival.units) or cell  # a new object may go elsewhere
            self._hold(request)
        else:
            self._give_up(request)

    def _health(self, event: api.AttemptFinished, node: Node) -> None:
        """Silence: attempts in a row end with no sign of life. A single answer ends it.

        Guards against dead machines, cut links, hung processes and full connection tables.
        """
        if event.kind in api.UNRESPONSIVE_OUTCOMES:
            # nothing listens there: it says as much as several that were not answered
            node.streak += SILENT_STREAK if event.kind == "connect_failed" else 1
            if node.streak >= SILENT_STREAK and not node.silent:
                node.silent = True
                self._actions.append(api.LogLine(f"node {node.id} judged silent"))
            node.trial_us = max(node.trial_us, self._now + TRIAL_US)
        elif event.kind in ("ok", "error", "rejected"):
            self._alive(node, 0)

    def _alive(self, node: Node, streak: int) -> None:
        if node.silent:
            self._actions.append(api.LogLine(f"node {node.id} is back"))
            self._touched[node.shard] = self._cells[node.shard]
        node.streak, node.silent = min(node.streak, streak), False

    def _fit(self, node: Node) -> bool:
        """Whether requests may go there. A silent node is tried now and then: by a probe, where probes are
        allowed, from TRIAL_HEADS heads at once at most; else by a request."""
        if not (node.live and node.silent):
            return node.live
        if node.trial_us > self._now:
            return False
        if self._s.probes_allowed:
            node.trial_us = self._now + TRIAL_US * ceil(self._s.broker_count / TRIAL_HEADS)
            self._actions.append(api.StartProbe(node.id))
        return not self._s.probes_allowed

    def _overtake(self, node: Node, sent_us: int) -> None:
        """Give up attempts that hang, as the node has answered what it was sent later.

        Guards against connections that fall silent or bring half an answer; one merely slow answers in turn.
        Large requests among many small ones have patience by their size.
        """
        for request, count in list(node.flying.items()) if self._s.cancel_allowed else ():
            since_us = request.out[request.sent - 1][1]
            if since_us >= sent_us:
                return
            node.flying[request] = count + 1
            size = max(1.0, request.arrival.units / self._s.mean_request_units)
            expected = node.fast * self._usual[request.arrival.request_class] * size
            if count + 1 >= OVERTAKEN and self._now > since_us + PATIENCE * expected:
                del node.flying[request]
                self._actions.append(api.CancelAttempt(request.id, request.sent - 1))

    def _may_retry(self, request: Request) -> bool:
        """Whether a further attempt is allowed by the request's own rules."""
        spare = request.sent < self._s.max_attempts and not request.begun
        return spare and (request.kind.idempotency != "non_idempotent" or request.maybe_us == 0)

    # --- 7. Guards of the rules: the single place where attempts and answers leave -------------

    def _send(self, request: Request, node: Node) -> bool:
        """Send an attempt if every rule lets it; False: not now (held) or given up."""
        if request.over or request.out or not self._may_retry(request):
            self._give_up(request)
            return False
        event = request.arrival
        if not node.live or (event.shard >= 0 and node.shard != event.shard):
            return False
        line = request.line
        if line and (line.members[0] is not request or (not request.sent and line.rest_us > self._now)):
            return False
        if request.maybe_us and request.kind.idempotency == "keyed" and not self._in_group(request, node):
            self._give_up(request)
            return False
        if self._cold(node) and not self._cold_room(node, event.units):
            return False
        if request.sent and not self._extra_room():
            self._give_up(request)
            return False
        wait_us = self._limit_wait(request)
        if wait_us:  # out of the queue until the store has filled so far
            self._unhold(request)
            if self._now + wait_us > request.taken_us + LIMIT_PART * request.kind.latency_objective_us:
                self._give_up(request)
            else:
                self._at(self._now + wait_us, request)
            return False
        if not request.sent and self._s.plans[event.plan].rate_limit > 0:
            if self._leases and event.sharing_broker_count > 1:
                request.volume.credit.spend(event.units)
            else:
                request.volume.limit.units -= event.units
        if request.sent and self._s.retry_budget_floor is not None:
            self._extra.append(self._now)
        if self._cold(node):
            node.gift.spend(event.units)
        request.out[request.sent] = (node, self._now)
        request.sent += 1
        node.out += 1
        node.out_units += event.units
        node.flying[request] = 0
        if node.silent:
            node.trial_us = self._now + TRIAL_US
        # more heads than requests that a node may hold steer no queue by their bounds: there, what waits past
        # its aim makes room
        stop_us = request.due_us if self._s.broker_count > CEILING else event.deadline_at_us
        self._actions.append(api.StartAttempt(request.id, node.id, stop_us))
        return True

    def _in_group(self, request: Request, node: Node) -> bool:
        """Rule 2: a keyed request that may have run stays in its group and window."""
        first = request.maybe_node
        if first is None or self._now + MARGIN_US > request.maybe_us + request.kind.deduplication_window_us:
            return False
        group = request.kind.deduplication_scope
        return group == "all" or (first.zone == node.zone if group == "zone" else first.shard == node.shard)

    def _cold(self, node: Node) -> bool:
        return node.started_us > 0 and self._now < node.started_us + self._s.slow_start_us

    def _bears(self, node: Node) -> float:
        """Rule 4: units that a cold node bears in a window by now, from all heads together.

        The safe units are the start's, with the slowest rise. Answers prove more: units over the time they
        took are at most what one core does. FEW_PROVEN requests at the safe rate weigh among them.
        """
        age = max(0, self._now - self._s.collapse_window_us - LIFE_US - node.started_us) / max(
            1, self._s.slow_start_us
        )
        safe = self._s.slow_start_units * (1 + min(1.0, age) * (1 / self._s.slow_start_initial_ratio - 1))
        most_us, few = (
            self._s.collapse_load_ratio * self._s.collapse_window_us,
            FEW_PROVEN * self._s.mean_request_units,
        )
        few_us = few * most_us / max(0.01, self._s.slow_start_units)
        return max(safe, (node.proof + few) * most_us / max(1.0, node.proof_us + few_us))

    def _cold_room(self, node: Node, units: float) -> bool:
        """A gift of a keeper, which takes it off its part of what the node bears before it tells.

        It ends LIFE_US after the ask, by the asker's clock: a window holds only its own and LIFE_US's before.
        """
        gift = node.gift
        if not gift.covers(self._now, units) and self._now >= gift.again_us:
            gift.ask(self._now, units, units, self._now + LIFE_US)
            proof = [min(255, int(node.answered)), min(255, ceil(node.answered_us / PROOF_US))]
            node.answered, node.answered_us = 0.0, 0
            keeper = self._keepers(node.shard)[gift.number % 2 if self._part < 1 else 0]
            self._say(keeper, ASK, node.shard, [float(node.start_ms), ceil(units), gift.number, *proof])
        return gift.covers(self._now, units)  # a keeper's own ask is answered at once

    def _gift(self, head: int, kind: int, shard: int, figures: list[float]) -> None:
        """As keeper, give where the part has room; as asker, take what is still awaited."""
        started, units, number, answered, took = figures
        for node in self._cells[shard].nodes.values():
            if not (node.live and self._cold(node) and node.start_ms == started):
                continue
            if kind == ASK:
                node.prove(answered, int(took) * PROOF_US, PROOF * self._s.max_request_units)
                span_us = self._s.collapse_window_us + LIFE_US + self._s.tick_us
                if node.given_since(self._now - span_us) + units <= self._bears(node) * self._part:
                    node.given.append((self._now, units))
                    self._say(head, GIFT, shard, figures)
            elif node.gift.take(self._now, int(number), int(units)):
                self._touched[shard] = self._cells[shard]

    def _extra_room(self) -> bool:
        """Rule on further attempts: those of one window stay within floor and share."""
        if self._s.retry_budget_floor is None:
            return True
        for times in (self._taken, self._extra):
            drop_until(times, self._now - self._s.retry_budget_window_us)
        return len(self._extra) + 1 <= self._s.retry_budget_floor + self._s.retry_budget_ratio * len(
            self._taken
        )

    def _limit_wait(self, request: Request) -> int:
        """Rule on limits: time until the volume's store has the units, or its keeper is asked again.

        Its own store, or, where heads can't tell each other anything, its even part; else a keeper's credit.
        """
        event, plan, volume = request.arrival, self._s.plans[request.arrival.plan], request.volume
        if plan.rate_limit <= 0 or request.sent:
            return 0
        leases = self._leases if event.sharing_broker_count > 1 else None
        if not leases:
            rate, most = (
                plan.rate_limit / event.sharing_broker_count,
                plan.burst_limit_units / event.sharing_broker_count,
            )
            short = event.units - volume.limit.fill(self._now, rate, most)
            late_us = REST_US if event.is_retry else 1 + int(short / rate * SECOND)
            return late_us if short > 0 else 0
        credit = volume.credit
        if not credit.covers(self._now, event.units):
            waiting = dict.fromkeys([*volume.waiting, request])
            volume.waiting = [r for r in waiting if not (r.over or r.sent)]
            sizes = [r.arrival.units for r in volume.waiting]
            if self._now >= credit.again_us:
                # a busy volume's head asks also for what comes meanwhile
                more = 2 * plan.rate_limit * LIFE_US / SECOND if credit.short else 0.0
                wanted = sum(sizes) + more, min(sizes)
                self._say(*leases.ask(self._now, volume.key, credit, event.plan, *wanted))
        if credit.covers(self._now, event.units):
            return 0
        # where the store is short, first tries have it; a repeat is late for its own
        filled_us = REST_US if event.is_retry else int(sum(sizes) / plan.rate_limit * SECOND)
        return max(1, credit.again_us - self._now, filled_us if credit.short else 0)

    def _give_up(self, request: Request) -> None:
        """The final answer, at once: a refusal where it is true that nothing ran, else a failure."""
        if request.over:
            return
        kind = request.kind
        ran = bool(request.maybe_us or request.out)
        if (
            kind.idempotency == "idempotent"
            or not ran
            or (kind.idempotency == "keyed" and kind.deduplication_scope == "all")
        ):
            wait_us = min(self._s.max_retry_after_us, max(TRIAL_US, self._round_end - self._now))
            self._actions.append(api.Reject(request.id, wait_us if self._s.retry_after_allowed else 0))
        else:
            self._actions.append(api.Fail(request.id))
        if request.store is not None:  # what it took of its volume's dues is due again
            request.store.units += request.arrival.units
        self._close(request)

    def _close(self, request: Request) -> None:
        """No answer is owed any more; the request stays known until its last outcome."""
        self._unhold(request)
        request.over = True
        if request.out:
            return
        self._requests.pop(request.id, None)
        if request.line is not None:
            self._advance(request.arrival.key, request.line)

    def _advance(self, key: str, line: Line) -> None:
        """Give the turn of a key to the next request, after the key's rest."""
        while line.members and line.members[0].over and not line.members[0].out:
            line.members.popleft()
        if not line.members and line.rest_us <= self._now:
            self._lines.pop(key, None)
        elif line.rest_us > self._now:
            self._at(line.rest_us, key)
        else:
            self._at(self._now, line.members[0])

    def _at(self, when_us: int, what: Request | Cell | Leases | str | None) -> None:
        self._count += 1
        heappush(self._later, (when_us, self._count, what))

    def _run_later(self) -> None:
        """What was put off: last calls of requests, turns of keys, calls to the list."""
        while self._later and self._later[0][0] <= self._now:
            what = heappop(self._later)[2]
            if isinstance(what, Request):
                turn = what.over or what.line is None or what.line.members[0] is what
                if self._now >= what.arrival.deadline_at_us - self._s.tick_us and not what.out:
                    self._give_up(what)
                elif turn and not (what.over or what.out or what.held):
                    self._hold(what)
            elif isinstance(what, Cell):
                self._touched[what.shard] = what
            elif what is None:
                self._actions.append(api.WatchEndpoints())
            elif isinstance(what, Leases):
                if what is self._leases:
                    for head, slot, number in what.calls(self._now):
                        self._say(head, CALL, slot, [number])
                    self._at(self._now + CALL_US, what)
            elif what in self._lines:
                self._advance(what, self._lines[what])

    def _arm(self) -> None:
        """One timer for the next thing to look at."""
        while self._later and isinstance(what := self._later[0][2], Request) and what.over and not what.out:
            heappop(self._later)
        want = max(self._now + 1, min([self._round_end, *(entry[0] for entry in self._later[:1])]))
        if not self._now < self._wake_us <= want:
            self._wake_us = want
            self._actions.append(api.SetTimer(want - self._now, want))
