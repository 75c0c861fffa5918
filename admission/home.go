package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
)

// Home admits requests to the engines that it has adopted. It is not safe for concurrent use.
type Home struct {
	config        Config
	engines       map[fleet.EngineID]*engine
	sortedEngines []*engine // by ID, so that outputs do not depend on map order
	pools         map[fleet.ServiceID]*pool
	attempts      map[fleet.AttemptID]*attempt
	freeAttempts  []*attempt
	released      releasedSet
	flaps         map[fleet.EngineID]flapHistory
	peers         []fleet.InstanceID
	peersKnown    bool
	decisions     []Decision
}

// engine is the state of an adopted engine.
type engine struct {
	Engine
	pool             *pool
	inFlight         int
	customers        map[fleet.CustomerID]*customer
	customersInOrder []*customer // the same customers in order of first request
	totalWeight      float64     // sum of the customers' weights
	queue            []*attempt  // in order of queueing
	draining         bool
	inHoldDown       bool
	holdDownUntil    time.Duration
	takeover         takeover
	cache            cacheEstimate
}

// pool is the state of a pool that has engines in this home or totals from other homes.
type pool struct {
	engines         []*engine
	inFlight        int     // on the open engines of this home
	capacity        float64 // of the open engines of this home
	waiting         int     // in the queues of this home
	otherHomesTotal PoolCount
}

// customer is a customer's use of one engine.
type customer struct {
	id                fleet.CustomerID
	weight            float64
	inFlight, waiting int
	lastSeen          time.Duration
}

// attempt is a running or waiting attempt.
type attempt struct {
	id          fleet.AttemptID
	entry       fleet.InstanceID
	engine      *engine
	customer    *customer
	chat        fleet.ChatKey
	fingerprint fleet.Fingerprint
	deadline    time.Duration
	arrival     time.Duration
	queuedAt    time.Duration
	class       Class
	running     bool
	inTakeover  bool // granted during a takeover
	noRedirect  bool
}

// New returns a Home without engines.
func New(config Config) *Home {
	return &Home{
		config:   config.withDefaults(),
		engines:  make(map[fleet.EngineID]*engine),
		pools:    make(map[fleet.ServiceID]*pool),
		attempts: make(map[fleet.AttemptID]*attempt),
		flaps:    make(map[fleet.EngineID]flapHistory),
	}
}

// Decisions returns the decisions about waiting requests since the last call, in order. The
// slice is valid until the next input.
func (h *Home) Decisions() []Decision {
	out := h.decisions
	h.decisions = h.decisions[:0]
	return out
}

// Adopt makes this instance the home of an engine, or changes the slots, pool and capacity of an
// engine that it already has. With takeover set, a newly adopted engine admits only a share of its
// limit until all peers have registered their attempts or the takeover window ends.
func (h *Home) Adopt(now time.Duration, engine Engine, takeover bool) {
	engine.Slots = max(engine.Slots, 0)
	if !(engine.Capacity >= 0) || math.IsInf(engine.Capacity, 1) {
		engine.Capacity = 0
	}
	e, known := h.engines[engine.ID]
	if !known {
		e = h.newEngine(now, engine.ID, takeover)
	}
	former := e.pool
	if former != nil {
		h.leavePool(e)
	}
	e.Engine = engine
	h.joinPool(e)
	h.grantWaiting(now, e.pool)
	if former != nil && former != e.pool {
		h.grantWaiting(now, former)
	}
}

func (h *Home) newEngine(now time.Duration, id fleet.EngineID, takeover bool) *engine {
	e := &engine{
		customers: make(map[fleet.CustomerID]*customer),
		cache:     newCacheEstimate(h.config.CacheEntries),
	}
	e.ID = id
	if takeover {
		e.takeover.begin(now + h.config.TakeoverWindow)
	}
	if f := h.flaps[id]; now < f.until {
		e.inHoldDown, e.holdDownUntil = true, f.until
	}
	h.engines[id] = e
	h.sortedEngines = append(h.sortedEngines, e)
	slices.SortFunc(h.sortedEngines, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	return e
}

// Drop ends this instance's role as home of an engine. Waiting requests are refused with
// NotHome. Running attempts are no longer counted, since entries register them with the next home.
func (h *Home) Drop(now time.Duration, id fleet.EngineID) {
	e, ok := h.engines[id]
	if !ok {
		return
	}
	h.removeAllWaiting(e, Refused, NotHome)
	for _, a := range h.runningOn(e) {
		h.deleteAttempt(a)
	}
	p := e.pool
	h.leavePool(e)
	delete(h.engines, id)
	h.sortedEngines = slices.DeleteFunc(h.sortedEngines, func(other *engine) bool { return other == e })
	h.grantWaiting(now, p)
}

// SetPool sets the totals of a pool over the other homes.
func (h *Home) SetPool(now time.Duration, id fleet.ServiceID, inFlight int, capacity float64) {
	if !(capacity >= 0) || math.IsInf(capacity, 1) {
		capacity = 0
	}
	p := h.poolOf(id)
	p.otherHomesTotal = PoolCount{id, max(inFlight, 0), capacity}
	h.grantWaiting(now, p)
}

// SetDraining starts or ends the draining of an engine. Waiting requests are redirected.
func (h *Home) SetDraining(now time.Duration, id fleet.EngineID, draining bool) {
	e, ok := h.engines[id]
	if !ok || e.draining == draining {
		return
	}
	h.updateOpen(e, func() { e.draining = draining })
	if draining {
		h.removeAllWaiting(e, Redirect, Draining)
	}
	h.grantWaiting(now, e.pool)
}

// Status describes one engine.
type Status struct {
	InFlight, Waiting, Limit int
	Draining, Takeover       bool
	// HeldUntil is the end of the hold-down, or zero.
	HeldUntil time.Duration
}

// Status returns the state of an engine, and false if this instance is not its home.
func (h *Home) Status(id fleet.EngineID) (Status, bool) {
	e, ok := h.engines[id]
	if !ok {
		return Status{}, false
	}
	s := Status{e.inFlight, len(e.queue), h.limit(e), e.draining, e.takeover.active, 0}
	if e.inHoldDown {
		s.HeldUntil = e.holdDownUntil
	}
	return s, true
}

func (h *Home) poolOf(id fleet.ServiceID) *pool {
	p, ok := h.pools[id]
	if !ok {
		p = &pool{}
		h.pools[id] = p
	}
	return p
}

func (h *Home) joinPool(e *engine) {
	e.pool = h.poolOf(e.Pool)
	e.pool.engines = append(e.pool.engines, e)
	e.pool.waiting += len(e.queue)
	if e.open() {
		e.pool.inFlight += e.inFlight
	}
	e.pool.updateCapacity()
}

func (h *Home) leavePool(e *engine) {
	p := e.pool
	p.engines = slices.DeleteFunc(p.engines, func(other *engine) bool { return other == e })
	p.waiting -= len(e.queue)
	if e.open() {
		p.inFlight -= e.inFlight
	}
	p.updateCapacity()
}

// open reports whether an engine takes new requests and therefore counts towards its pool.
func (e *engine) open() bool { return !e.draining && !e.inHoldDown }

// updateOpen runs change, which may open or close an engine, and corrects the pool's totals.
func (h *Home) updateOpen(e *engine, change func()) {
	before := e.open()
	change()
	switch {
	case before && !e.open():
		e.pool.inFlight -= e.inFlight
	case !before && e.open():
		e.pool.inFlight += e.inFlight
	}
	e.pool.updateCapacity()
}

// updateCapacity sums the capacity of the open engines. It adds in a fixed order, so that the same
// inputs always give the same floating-point sum and bounds.
func (p *pool) updateCapacity() {
	p.capacity = 0
	for _, e := range p.engines {
		if e.open() {
			p.capacity += e.Capacity
		}
	}
}

// limit returns the most attempts that an engine may run now: its load bound or its slots,
// whichever is lower.
func (h *Home) limit(e *engine) int {
	return min(h.bound(e, h.config.LoadFactor), e.Slots)
}

// bound returns an engine's load bound for a multiple of the pool's mean load.
func (h *Home) bound(e *engine, factor float64) int {
	inFlight := e.pool.inFlight + e.pool.otherHomesTotal.InFlight
	total := e.pool.capacity + e.pool.otherHomesTotal.Capacity
	return affinity.Bound(factor, inFlight, total, e.Capacity)
}

// hasRoomForUncached reports whether an engine may run one more attempt of a chat that is not cached
// there and can run equally well on another engine.
func (h *Home) hasRoomForUncached(e *engine) bool {
	return e.inFlight < h.bound(e, h.config.UncachedFactor)
}

// hasRoom reports whether an engine may run one more attempt.
func (h *Home) hasRoom(e *engine) bool {
	limit := h.limit(e)
	if e.inFlight >= limit {
		return false
	}
	return !e.takeover.active || e.takeover.grantedRunning < takeoverLimit(h.config.TakeoverShare, limit)
}
