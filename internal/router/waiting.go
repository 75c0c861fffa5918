package router

import (
	"math"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/waitqueue"
)

const (
	// waitMargin is the least time before its deadline at which a waiting request is refused: a tick, and the time with
	// which another attempt is made.
	waitMargin = minRetryTime + 50*time.Millisecond
	// targetMargin is the multiple of a route's mean latency that is reserved for the engine when a waiting request counts
	// as able to meet its target. Latencies vary by about half of their mean.
	targetMargin = 1.5
	// queuedSlack is how many times faster than expected turns may come before a waiting request is refused because of
	// its expected wait. The rate of turns varies by less within a second.
	queuedSlack = 2
	// nearRanks and gridNearRanks are the numbers of engines in the order of a prompt that are preferred to the one where a
	// slot has just become free. That slot is certain, the others may be taken by now; but in a large fleet, where few
	// waiting requests have their prompt at that engine, prompts would be read again too often: with one rank, 0.39 instead of
	// 0.76 of the prompts were cached at 82 instances with 246 engines.
	nearRanks, gridNearRanks = 1, 8
	// minOverloadRetryAfter and maxOverloadRetryShare bound the Retry-After of requests that are refused because of the
	// load. Callers wait for at most a third of the time that they have left.
	minOverloadRetryAfter = 100 * time.Millisecond
	maxOverloadRetryShare = 1.0 / 3
)

// waitState holds the requests of this instance that wait until an engine has room. They stay in Router.calls.
type waitState struct {
	queue    *waitqueue.Queue
	refusals waitqueue.Refusals
}

// callWait is what concerns the waiting of one request.
type callWait struct {
	// queued is set while the request waits, since since. expected is the expectation at that time.
	queued   bool
	since    time.Duration
	expected waitqueue.Expectation
	// earlyRetry marks a request that its client repeats sooner than it was told to.
	earlyRetry bool
	// rejected is set once an engine rejected the request for lack of room, rejectedBy lists those engines.
	rejected   bool
	rejectedBy []fleet.EngineID
}

func (w *waitState) init() { w.queue = waitqueue.New(waitqueue.Config{}) }

// countArrival counts a request for the shares of the customers.
func (r *Router) countArrival(c *call) {
	if r.cfg.LoadControl {
		r.waiting.queue.Arrived(r.now, c.service, c.customer)
		c.wait.earlyRetry = r.waiting.refusals.Early(r.now, c.customer, c.Fingerprint)
	}
}

// mayWait reports whether a request may wait at this instance. A stream that has begun goes on at once, because its caller
// waits for the next event. Requests without a prompt last milliseconds, for which the known loads are too old: they wait
// only after a rejection. A stopping instance has no queue.
func (r *Router) mayWait(c *call, pool *servicePool) bool {
	if !r.cfg.LoadControl || r.drain.active || c.partDelivered || !c.hasPrompt() && !c.wait.rejected {
		return false
	}
	return r.roomOf(pool).Known()
}

// noRoom reports whether a request has to wait whatever engine would be chosen. In a large pool without a free slot that
// costs far less than the choice.
func (r *Router) noRoom(c *call, pool *servicePool) bool {
	if !r.mayWait(c, pool) {
		return false
	}
	room := pool.turns.room
	return r.waiting.queue.Waiting(c.service) > 0 || room.Free <= 0 && room.Slots > 0 && room.Cold == 0
}

// mustWait reports whether a request waits instead of being sent to the chosen engine. A turn is used by sending it. A cold
// engine needs none: its warm-up is divided among the instances.
func (r *Router) mustWait(c *call, pool *servicePool, choice placement.Choice) bool {
	if !r.mayWait(c, pool) {
		return false
	}
	scarce := r.scarce(pool) || c.wait.rejected
	switch {
	case !canBegin(choice):
		return scarce
	case choice.Cold:
		return false
	}
	return scarce && !pool.turns.available(r.now, r.loadDelay())
}

// scarce reports whether requests need turns. While more slots are free, a request whose engines are all full queues at
// one of them: it may not go to the others, or its cached prompt is worth the wait.
func (r *Router) scarce(pool *servicePool) bool {
	return r.roomOf(pool).NearlyFull() || r.now < pool.turns.scarceUntil
}

// recordRejection records that an engine rejected a request for lack of room. One that has got it again since, and has
// failed it, is excluded like others.
func (r *Router) recordRejection(c *call, o Outcome) {
	if o != Rejected {
		c.wait.rejectedBy = slices.DeleteFunc(c.wait.rejectedBy, func(id fleet.EngineID) bool { return id == c.engine })
	}
	if pool := r.pools[c.service]; r.cfg.LoadControl && o == Rejected && pool != nil {
		pool.turns.rejected(r.now, r.loadDelay(), c.engine, pool.engines.Len())
		c.wait.rejected = true
		c.wait.rejectedBy = append(c.wait.rejectedBy, c.engine)
	}
}

// excludedTries returns the engines of earlier attempts that don't get the request again. Those that rejected it for lack
// of room are paused for a moment and may get it again when its turn has come.
func (r *Router) excludedTries(c *call) []fleet.EngineID {
	if !r.cfg.LoadControl || !c.wait.rejected {
		return c.triedEngines
	}
	var list []fleet.EngineID
	for _, id := range c.triedEngines {
		if !slices.Contains(c.wait.rejectedBy, id) {
			list = append(list, id)
		}
	}
	return list
}

func (c *call) hasPrompt() bool { return c.route.Affinity && c.Prompt != 0 }

// canBegin reports whether the chosen engine is likely to begin a request at once.
func canBegin(choice placement.Choice) bool {
	return choice.HasFreeSlot() && choice.Reason != placement.LastResort
}

// enqueue lets a request wait, or refuses it if it is not expected to be served in time.
func (r *Router) enqueue(c *call, pool *servicePool) {
	request := r.waitRequest(c)
	c.wait.expected = r.waiting.queue.Expect(r.now, request)
	if r.now+c.wait.expected.Wait > request.ServableUntil {
		r.refuseOverloaded(c)
		return
	}
	evicted, ok := r.waiting.queue.Push(r.now, request)
	for _, e := range evicted {
		r.refuseOverloaded(r.calls[CallID(e.ID)])
	}
	if !ok {
		r.refuseOverloaded(c)
		return
	}
	c.wait.queued, c.wait.since = true, r.now
	r.logDecision(c, "call_waits", r.expectationFields(c)...)
	r.dispatch(c.service, pool, "")
}

// expectationFields returns the expectation of a request for the log.
func (r *Router) expectationFields(c *call) []any {
	e := c.wait.expected
	return []any{"ahead", e.Ahead, "turns_per_s", math.Round(10*e.Rate) / 10, "expected_ms", e.Wait.Milliseconds(),
		"left_ms", (c.deadline - r.now).Milliseconds(), "urgency", c.urgency}
}

// refuseOverloaded refuses a request that can't be served in time, or for which there is no place.
func (r *Router) refuseOverloaded(c *call) {
	retryAfter := r.overloadRetryAfter(c)
	if c.possibleRuns == 0 {
		r.waiting.refusals.Add(c.customer, c.Fingerprint, r.now+retryAfter)
	}
	r.giveUpFor(c, "overloaded", retryAfter)
}

// overloadRetryAfter returns the expected time until there is room for the urgency of a request, within its bounds and
// spread at random by half.
func (r *Router) overloadRetryAfter(c *call) time.Duration {
	queue := r.waiting.queue
	urgency := c.rank()
	wait := queue.ExpectBehind(r.now, c.service, queue.AsUrgent(c.service, urgency)+1).Wait
	longest := max(time.Duration(maxOverloadRetryShare*float64(c.deadline-r.now)), minOverloadRetryAfter)
	wait = min(max(wait, minOverloadRetryAfter), longest)
	// The callers whose expected wait exceeds a bound don't return together either.
	from, to := max(3*wait/4, minOverloadRetryAfter), min(5*wait/4, longest)
	r.spread = retrySpread{from, to, from + time.Duration(r.rng.Float64()*float64(to-from))}
	return r.spread.drawn
}

// dispatch sends waiting requests of a service while there are turns. freed is the engine at which an attempt of this
// instance has just ended, or empty: the first request goes there unless a better engine is known to have a free slot.
func (r *Router) dispatch(service fleet.ServiceID, pool *servicePool, freed fleet.EngineID) {
	for r.waiting.queue.Waiting(service) > 0 && pool.turns.available(r.now, r.loadDelay()) {
		next, _ := r.waiting.queue.Next(r.now, service, freed)
		c := r.calls[CallID(next.ID)]
		if r.now > next.ServableUntil {
			r.refuseOverloaded(c)
			continue
		}
		request := r.placementRequest(c)
		if r.loads.poolsStale {
			r.updatePoolLoads()
		}
		choice, ok := r.chooseForTurn(pool, request, freed)
		if ok && !canBegin(choice) && choice.Engine.ID != freed {
			if c, request, choice, ok = r.passOver(service, pool, next.ID); !ok {
				return
			}
		}
		if freed == "" {
			r.waiting.queue.CountTurn(r.now, service)
		}
		freed = ""
		r.serve(c, pool, request, choice, ok)
	}
}

// chooseForTurn returns an engine for a waiting request: one of the first in its order if that is known to have a free slot,
// else the one where a slot has just become free, else any.
func (r *Router) chooseForTurn(pool *servicePool, request placement.Request, freed fleet.EngineID) (placement.Choice, bool) {
	if freed != "" {
		ranks := nearRanks
		if r.inGrid() {
			ranks = gridNearRanks
		}
		if choice, ok := pool.engines.ChooseNear(r.now, request, ranks); ok {
			return choice, true
		}
		if choice, ok := pool.engines.ChooseEngine(r.now, request, freed); ok {
			return choice, true
		}
	}
	return pool.engines.Choose(r.now, request)
}

// serve ends the wait of a request whose turn has come. choice is its engine if ok is set.
func (r *Router) serve(c *call, pool *servicePool, request placement.Request, choice placement.Choice, ok bool) {
	r.waiting.queue.Take(c.service, uint64(c.ID))
	c.wait.queued = false
	pool.turns.usedAt = r.now
	r.emit(CallWaited{Urgency: min(max(c.urgency, 0), maxUrgency), Waited: r.now - c.wait.since})
	switch {
	case !r.endsInTime(c):
		r.giveUpFor(c, "stopping", stoppingRetryAfter)
	case !ok:
		r.refuseUnplaced(c, pool, request)
	case choice.Owner != "":
		r.askToken(c, choice, "")
	default:
		r.send(c, pool, choice)
	}
}

// unqueue removes a request that has ended from the queue.
func (r *Router) unqueue(c *call) {
	if c.wait.queued {
		c.wait.queued = false
		r.waiting.queue.Remove(c.service, uint64(c.ID))
	}
}

// tickWaiting gives turns for the room that loads show, and refuses what can't be served any more.
func (r *Router) tickWaiting() {
	if !r.cfg.LoadControl {
		r.endWaiting()
		return
	}
	for _, service := range r.waiting.queue.Groups() {
		pool := r.pools[service]
		if pool == nil {
			continue
		}
		room := r.freshRoom(pool)
		if !room.Known() {
			// A rate limit or an engine without slots has come up, or only cold engines are left. Their requests don't wait
			// here.
			r.sendAll(service, pool)
			continue
		}
		r.refuseHopeless(service)
		pool.turns.accrue(r.now, r.loadDelay(), r.liveInstances(), room, r.rng)
		r.dispatch(service, pool, "")
		r.serveCold(service, pool, room.Cold)
		r.serveOverdue(service, pool)
	}
}

// refuseHopeless refuses the waiting requests of a service that can't be served in time any more.
func (r *Router) refuseHopeless(service fleet.ServiceID) {
	behind := 0
	for _, request := range r.waiting.queue.InOrder(r.now, service) {
		c := r.calls[CallID(request.ID)]
		e := r.waiting.queue.ExpectBehind(r.now, service, behind)
		if r.now+e.Wait/queuedSlack > request.ServableUntil {
			c.wait.expected = e
			r.refuseOverloaded(c)
			continue
		}
		behind++
	}
}

// serveOverdue sends a request that has waited longer than expected to the engine with the shortest queue, if the service
// has had no turn for longer than loads are old: the loads are then wrong, or this instance runs nothing there.
func (r *Router) serveOverdue(service fleet.ServiceID, pool *servicePool) {
	next, ok := r.waiting.queue.Next(r.now, service, "")
	if !ok {
		return
	}
	c := r.calls[CallID(next.ID)]
	patience := r.loadDelay()
	if r.now-max(pool.turns.usedAt, c.wait.since) < patience || r.now-c.wait.since < c.wait.expected.Wait {
		return
	}
	request := r.placementRequest(c)
	choice, ok := pool.engines.ChooseShortestQueue(r.now, request)
	if !ok {
		choice, ok = pool.engines.Choose(r.now, request)
	}
	r.waiting.queue.CountTurn(r.now, service)
	r.logDecision(c, "wait_overdue", "waited_ms", (r.now - c.wait.since).Milliseconds(), "expected_ms", c.wait.expected.Wait.Milliseconds())
	r.serve(c, pool, request, choice, ok)
}

// endWaiting sends all waiting requests, because load control is off.
func (r *Router) endWaiting() {
	for _, service := range r.waiting.queue.Groups() {
		if pool := r.pools[service]; pool != nil {
			r.sendAll(service, pool)
		}
	}
}

// sendAll sends the waiting requests of a service as if they had not waited.
func (r *Router) sendAll(service fleet.ServiceID, pool *servicePool) {
	for _, next := range r.waiting.queue.InOrder(r.now, service) {
		c := r.calls[CallID(next.ID)]
		request := r.placementRequest(c)
		choice, ok := pool.engines.Choose(r.now, request)
		r.serve(c, pool, request, choice, ok)
	}
}

// refuseWaiting refuses all waiting requests.
func (r *Router) refuseWaiting(code string, retryAfter time.Duration) {
	for _, service := range r.waiting.queue.Groups() {
		for _, request := range r.waiting.queue.InOrder(r.now, service) {
			r.giveUpFor(r.calls[CallID(request.ID)], code, retryAfter)
		}
	}
}

// recheckWaiting refuses the waiting requests whose route or service the configuration in force lacks, and those for
// whose service no engine is left.
func (r *Router) recheckWaiting() {
	for _, service := range r.waiting.queue.Groups() {
		pool := r.pools[service]
		gone := pool != nil && pool.engines.Len() == 0
		for _, request := range r.waiting.queue.Requests(service) {
			c := r.calls[CallID(request.ID)]
			switch {
			case pool == nil, r.table.Lookup(c.Host, c.Path) == nil:
				r.giveUpFor(c, "route_removed", noConfigRetryAfter)
			case gone:
				r.refuseUnplaced(c, pool, r.placementRequest(c))
			}
		}
	}
}
