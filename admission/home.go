package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
)

// Home admits work to the engines it has adopted. It is not safe for concurrent use.
type Home struct {
	config   Config
	engines  map[fleet.EngineID]*engine
	order    []*engine // by ID, so that outputs do not depend on map order
	pools    map[fleet.ServiceID]*pool
	attempts map[fleet.AttemptID]*attempt
	spare    []*attempt
	released releasedSet
	flaps    map[fleet.EngineID]flaps
	peers    []fleet.InstanceID
	peersSet bool
	out      []Decision
}

// engine is the state of an adopted engine.
type engine struct {
	Engine
	pool      *pool
	inFlight  int
	customers map[fleet.CustomerID]*customer
	active    []*customer // the same customers in order of first request
	weight    float64     // sum of the weights of active
	queue     []*attempt  // in order of queueing
	draining  bool
	held      bool
	heldUntil time.Duration
	takeover  takeover
	cache     cacheEstimate
}

// pool is the state of a pool with engines here or totals from other homes.
type pool struct {
	engines  []*engine
	inFlight int     // on the open engines of this home
	capacity float64 // of the open engines of this home
	waiting  int     // in the queues of this home
	others   PoolCount
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
	lastChoice  bool
}

// New returns a home without engines.
func New(config Config) *Home {
	return &Home{
		config:   config.withDefaults(),
		engines:  make(map[fleet.EngineID]*engine),
		pools:    make(map[fleet.ServiceID]*pool),
		attempts: make(map[fleet.AttemptID]*attempt),
		flaps:    make(map[fleet.EngineID]flaps),
	}
}

// Decisions returns the decisions about waiting requests since the last call, in order. The
// slice is valid until the next input.
func (h *Home) Decisions() []Decision {
	out := h.out
	h.out = h.out[:0]
	return out
}

// Adopt makes this instance the home of an engine, or changes the slots, pool and capacity of
// one that it already has. With takeover set, a newly adopted engine admits only a share of its
// bound until all peers have registered their attempts or the takeover window ends.
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
	h.drain(now, e.pool)
	if former != nil && former != e.pool {
		h.drain(now, former)
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
		e.held, e.heldUntil = true, f.until
	}
	h.engines[id] = e
	h.order = append(h.order, e)
	slices.SortFunc(h.order, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	return e
}

// Drop ends this instance's role as home of an engine. Waiting requests are refused with
// NotHome; running attempts are forgotten, since entries register them with the next home.
func (h *Home) Drop(now time.Duration, id fleet.EngineID) {
	e, ok := h.engines[id]
	if !ok {
		return
	}
	h.dismiss(e, Refused, NotHome)
	for _, a := range h.running(e) {
		h.free(a)
	}
	p := e.pool
	h.leavePool(e)
	delete(h.engines, id)
	h.order = slices.DeleteFunc(h.order, func(other *engine) bool { return other == e })
	h.drain(now, p)
}

// SetPool sets the totals of a pool over the other homes.
func (h *Home) SetPool(now time.Duration, id fleet.ServiceID, inFlight int, capacity float64) {
	if !(capacity >= 0) || math.IsInf(capacity, 1) {
		capacity = 0
	}
	p := h.poolOf(id)
	p.others = PoolCount{id, max(inFlight, 0), capacity}
	h.drain(now, p)
}

// SetDraining starts or ends the draining of an engine. Waiting requests are redirected.
func (h *Home) SetDraining(now time.Duration, id fleet.EngineID, draining bool) {
	e, ok := h.engines[id]
	if !ok || e.draining == draining {
		return
	}
	h.setOpen(e, func() { e.draining = draining })
	if draining {
		h.dismiss(e, Redirect, Draining)
	}
	h.drain(now, e.pool)
}

// Status describes one engine.
type Status struct {
	InFlight, Waiting, Limit int
	Draining, Takeover       bool
	// HeldUntil is the end of the hold-down, or zero.
	HeldUntil time.Duration
}

// Status returns the state of an engine, and false when this is not its home.
func (h *Home) Status(id fleet.EngineID) (Status, bool) {
	e, ok := h.engines[id]
	if !ok {
		return Status{}, false
	}
	s := Status{e.inFlight, len(e.queue), h.limit(e), e.draining, e.takeover.on, 0}
	if e.held {
		s.HeldUntil = e.heldUntil
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
	e.pool.sumCapacity()
}

func (h *Home) leavePool(e *engine) {
	p := e.pool
	p.engines = slices.DeleteFunc(p.engines, func(other *engine) bool { return other == e })
	p.waiting -= len(e.queue)
	if e.open() {
		p.inFlight -= e.inFlight
	}
	p.sumCapacity()
}

// open reports whether an engine takes new work and so counts towards its pool.
func (e *engine) open() bool { return !e.draining && !e.held }

// setOpen runs change, which may open or close an engine, and keeps the pool's count right.
func (h *Home) setOpen(e *engine, change func()) {
	before := e.open()
	change()
	switch {
	case before && !e.open():
		e.pool.inFlight -= e.inFlight
	case !before && e.open():
		e.pool.inFlight += e.inFlight
	}
	e.pool.sumCapacity()
}

// sumCapacity adds in a fixed order, so that equal histories have equal bounds.
func (p *pool) sumCapacity() {
	p.capacity = 0
	for _, e := range p.engines {
		if e.open() {
			p.capacity += e.Capacity
		}
	}
}

// limit returns the most attempts that an engine may run now: its load bound or its slots.
func (h *Home) limit(e *engine) int {
	return min(h.bound(e, h.config.Factor), e.Slots)
}

// bound returns an engine's load bound for a multiple of the pool's mean load.
func (h *Home) bound(e *engine, factor float64) int {
	inFlight := e.pool.inFlight + e.pool.others.InFlight
	total := e.pool.capacity + e.pool.others.Capacity
	return affinity.Bound(factor, inFlight, total, e.Capacity)
}

// roomForCold reports whether an engine may run one more attempt of a cold chat that can as
// well run elsewhere.
func (h *Home) roomForCold(e *engine) bool {
	return e.inFlight < h.bound(e, h.config.ColdFactor)
}

// room reports whether an engine may run one more attempt.
func (h *Home) room(e *engine) bool {
	limit := h.limit(e)
	if e.inFlight >= limit {
		return false
	}
	return !e.takeover.on || e.takeover.granted < takeoverLimit(h.config.TakeoverShare, limit)
}
