package router

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
)

const (
	// roomLife is how long a computed room of a pool is used, counting this instance's own requests in between.
	roomLife = 50 * time.Millisecond
	// smallFleetDelay and gridDelay are the times after which the loads of other instances are known.
	smallFleetDelay = 500 * time.Millisecond
	gridDelay       = time.Second
	// minTurnShare is the share of ended attempts that give a turn if their engine is known to have more requests than
	// slots, so that its queue shrinks. It is above zero because the known loads may be wrong.
	minTurnShare = 0.5
	// roomDelays is the time, in delays of loads, in which the instances fill the free slots. With one delay, the
	// number of requests at the engines of 82 instances swings between half of the slots and all of them.
	roomDelays = 1
	// maxAccrual bounds the time for which turns from room accrue at once.
	maxAccrual = 200 * time.Millisecond
)

// turnState holds the turns of an instance at a service: permits to send one request while the pool is nearly full.
//
// An ended attempt gives one turn, because its slot is free. Slots that were free before are divided by the number of
// instances, and each instance gets its part of them once in the time after which the others know its load. So all
// instances together fill a free slot about once. A turn that is not used is worth less and less: after the same time the
// others know of the free slot and use it.
type turnState struct {
	// saved is the number of unused turns at savedAt. It decays by a factor of e within the delay of loads.
	saved   float64
	savedAt time.Duration
	// accruedAt is when turns were last given for the room, usedAt when a waiting request last got a turn.
	accruedAt, usedAt time.Duration
	// room was computed at roomAt; hasRoom is unset before the first time.
	room    placement.Room
	roomAt  time.Duration
	hasRoom bool
	// accruing reports whether turns accrued when room was computed.
	accruing bool
	// rejectedBy is the engine that last rejected a request for lack of room, at rejectedAt.
	rejectedBy fleet.EngineID
	rejectedAt time.Duration
	// scarceUntil is until when requests need a turn although the known loads show room.
	scarceUntil time.Duration
}

// rejected records a rejection. Two engines that reject within the delay of loads show that the known loads are out of
// date; one engine that rejects may have a fault.
func (t *turnState) rejected(now, delay time.Duration, engine fleet.EngineID, engines int) {
	if engines == 1 || t.rejectedBy != "" && t.rejectedBy != engine && now-t.rejectedAt < delay {
		t.scarceUntil = now + delay
	}
	t.rejectedBy, t.rejectedAt = engine, now
}

// minSaved is what is left of a saved turn when it expires.
const minSaved = 0.5

func (t *turnState) decay(now, delay time.Duration) {
	if now > t.savedAt {
		t.saved *= math.Exp(-float64(now-t.savedAt) / float64(delay))
		t.savedAt = now
	}
}

// available reports whether a turn is left.
func (t *turnState) available(now, delay time.Duration) bool {
	t.decay(now, delay)
	return t.saved >= minSaved
}

// use counts a request that is sent, with or without a turn.
func (t *turnState) use(now, delay time.Duration) {
	t.decay(now, delay)
	t.saved = max(t.saved-1, 0)
	t.room.Free--
	t.room.Load++
}

func (t *turnState) add(now, delay time.Duration, n float64) {
	t.decay(now, delay)
	t.saved += n
}

// accrue gives this instance's part of the turns for the free slots of a pool.
func (t *turnState) accrue(now, delay time.Duration, instances int, room placement.Room, rng *rand.Rand) {
	t.decay(now, delay)
	elapsed := min(now-t.accruedAt, maxAccrual)
	t.accruedAt = now
	part := float64(room.Free) / float64(instances)
	if instances == 1 {
		t.saved = part
		return
	}
	if t.saved >= max(part, minSaved) {
		return
	}
	// Rounding at random keeps the instances from taking the same slot when each one's part is below one.
	t.saved += math.Floor(part*float64(elapsed)/(roomDelays*float64(delay)) + rng.Float64())
}

// roomOf returns the room of a pool, computed at most roomLife ago.
func (r *Router) roomOf(pool *servicePool) placement.Room {
	t := &pool.turns
	// The pool may become nearly full between two computations: turns must accrue then.
	if !t.hasRoom || r.now-t.roomAt >= roomLife || !t.accruing && t.room.NearlyFull() {
		return r.freshRoom(pool)
	}
	return t.room
}

// freshRoom computes the room of a pool. While the pool is nearly full, turns accrue for it.
func (r *Router) freshRoom(pool *servicePool) placement.Room {
	if r.loads.poolsStale {
		r.updatePoolLoads()
	}
	t := &pool.turns
	t.room, t.roomAt, t.hasRoom = pool.engines.Room(r.now), r.now, true
	t.accruing = t.room.NearlyFull() || r.now < t.scarceUntil
	if t.accruing {
		t.accrue(r.now, r.loadDelay(), r.liveInstances(), t.room, r.rng)
	}
	return t.room
}

// liveInstances returns the number of instances that share the room of the pools.
func (r *Router) liveInstances() int { return max(len(r.loads.grid.ids), 1) }

// loadDelay returns the time after which other instances know the load that this one adds.
func (r *Router) loadDelay() time.Duration {
	if r.inGrid() {
		return gridDelay
	}
	return smallFleetDelay
}

// countStarted counts an attempt that is sent.
func (r *Router) countStarted(c *call, pool *servicePool) {
	c.counted = false
	if !r.cfg.LoadControl {
		return
	}
	r.waiting.queue.Started(c.service, c.customer)
	c.counted = true
	if pool.engines.HasTurns(r.now, c.engine) {
		pool.turns.use(r.now, r.loadDelay())
	}
}

// attemptLeft counts the end of an attempt and gives a turn if the attempt has left a slot free that others may use.
func (r *Router) attemptLeft(service fleet.ServiceID, customer fleet.CustomerID, engine fleet.EngineID, counted bool, o Outcome) {
	if !counted {
		return
	}
	r.waiting.queue.Ended(service, customer)
	pool := r.pools[service]
	if pool == nil || !r.cfg.LoadControl || !pool.engines.HasTurns(r.now, engine) {
		return
	}
	pool.turns.room.Free++
	pool.turns.room.Load--
	switch o {
	case Unsent, Rejected, Misdirected, Stalled:
		return
	}
	r.waiting.queue.CountTurn(r.now, service)
	if pool.engines.Excess(r.now, engine) && r.rng.Float64() >= minTurnShare {
		return
	}
	pool.turns.add(r.now, r.loadDelay(), 1)
	r.dispatch(service, pool, engine)
}

// serveCold sends waiting requests to cold engines, of which so many may get one from this instance.
func (r *Router) serveCold(service fleet.ServiceID, pool *servicePool, engines int) {
	for range engines {
		next, ok := r.waiting.queue.Next(r.now, service, "")
		if !ok {
			return
		}
		c := r.calls[CallID(next.ID)]
		request := r.placementRequest(c)
		choice, ok := pool.engines.ChooseCold(r.now, request)
		if !ok {
			return
		}
		r.waiting.queue.CountTurn(r.now, service)
		r.serve(c, pool, request, choice, ok)
	}
}

// maxPassedOver is the number of waiting requests that are tried for a turn which the first one can't use. A choice costs
// up to 100 us in a large pool.
const maxPassedOver = 4

// passOver returns the first waiting request, of the next ones in their order, that an engine with a free slot may get,
// and that engine. The first request waits on: it may go only to engines that are full.
func (r *Router) passOver(service fleet.ServiceID, pool *servicePool, first uint64) (*call, placement.Request, placement.Choice, bool) {
	if pool.turns.room.Free <= 0 {
		return nil, placement.Request{}, placement.Choice{}, false
	}
	waiting := r.waiting.queue.InOrder(r.now, service)
	for _, next := range waiting[:min(len(waiting), maxPassedOver+1)] {
		if next.ID == first || r.now > next.ServableUntil {
			continue
		}
		c := r.calls[CallID(next.ID)]
		request := r.placementRequest(c)
		if choice, ok := pool.engines.Choose(r.now, request); ok && canBegin(choice) {
			return c, request, choice, true
		}
	}
	return nil, placement.Request{}, placement.Choice{}, false
}
