package bench

import (
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/harness"
)

// Names of the policies in the report. The oracle knows all caches and loads exactly.
const (
	policyFleet       = "fleet"
	policyOracle      = "oracle"
	policyRendezvous  = "rendezvous"
	policyLeastLoaded = "least loaded, 1 s lag"
	policyTwoChoices  = "two choices, 1 s lag"
	policyRoundRobin  = "round robin"
)

var policies = []string{policyFleet, policyOracle, policyRendezvous, policyLeastLoaded, policyTwoChoices, policyRoundRobin}

func newRouter(s *session) router {
	if s.plan.policy == policyFleet {
		return newFleetRouter(s)
	}
	b := &baseline{s: s, queues: make(map[fleet.EngineID]*engineQueue)}
	switch s.plan.policy {
	case policyOracle:
		return &oracle{baseline: b}
	case policyRendezvous:
		b.pick = b.rendezvous
	case policyLeastLoaded:
		b.pick = b.leastLoaded
		b.startReports()
	case policyTwoChoices:
		b.pick = b.twoChoices
		b.startReports()
	default:
		b.turnCounters = make([]int, s.plan.deployment.instances)
		b.pick = b.roundRobin
	}
	return b
}

// baseline is a policy that places each request on an engine when it arrives. Requests beyond
// the engine's slots queue at the engine.
type baseline struct {
	s      *session
	pick   func(a arrival) int
	queues map[fleet.EngineID]*engineQueue
	// ranking ranks the engines for a chat in the rendezvous policy.
	ranking *affinity.Pool
	// turnCounters holds the number of requests that each instance has placed by round robin.
	turnCounters []int
	// loadViews holds the load of each engine as each instance knows it: the load that was last
	// reported plus the requests sent since. Its indices are the instance and the engine.
	loadViews [][]int
}

// engineQueue holds the number of used slots of an engine and the requests that wait for one.
type engineQueue struct {
	running int
	waiting []*harness.Call
}

func (b *baseline) submit(a arrival) *harness.Call {
	call := b.s.RecordCall(harness.ChatCall(a.customer, serviceID, a.chat), a.tokens)
	index := b.pick(a)
	if b.loadViews != nil {
		b.loadViews[b.entryInstance(a)][index]++
	}
	engine := b.s.engines[index]
	q := b.queue(engine)
	q.waiting = append(q.waiting, call)
	b.startWaiting(engine, q)
	return call
}

func (b *baseline) entryInstance(a arrival) int { return a.entryIndex % b.s.plan.deployment.instances }

func (b *baseline) queue(e *harness.Engine) *engineQueue {
	q := b.queues[e.ID]
	if q == nil {
		q = &engineQueue{}
		b.queues[e.ID] = q
	}
	return q
}

// startWaiting starts waiting requests of an engine while it has free slots.
func (b *baseline) startWaiting(e *harness.Engine, q *engineQueue) {
	for q.running < b.s.byID[e.ID].Slots && len(q.waiting) > 0 {
		call := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running++
		b.s.RunDirect(e, call, func() {
			q.running--
			b.startWaiting(e, q)
		})
	}
}

func (b *baseline) load(e *harness.Engine) int {
	q := b.queue(e)
	return q.running + len(q.waiting)
}

func (b *baseline) enginesChanged() {
	candidates := make([]affinity.Candidate, len(b.s.engineRows))
	for i, row := range b.s.engineRows {
		candidates[i] = affinity.Candidate{ID: string(row.ID), Weight: row.Capacity}
	}
	b.ranking = affinity.NewPool(candidates)
}

func (b *baseline) rendezvous(a arrival) int {
	return b.ranking.Top(uint64(fleet.ChatKeyOf(a.customer, a.chat)), 1, nil)[0].Index
}

func (b *baseline) roundRobin(a arrival) int {
	entry := b.entryInstance(a)
	b.turnCounters[entry]++
	return (b.turnCounters[entry] + entry) % len(b.s.engines)
}

// startReports makes the loads of all engines known to each instance once per second, with a
// random offset for each instance.
func (b *baseline) startReports() {
	b.loadViews = make([][]int, b.s.plan.deployment.instances)
	for i := range b.loadViews {
		b.loadViews[i] = make([]int, len(b.s.engines))
		offset := time.Duration(b.s.rng.Int64N(int64(time.Second)))
		b.s.After(offset, func() { b.report(i) })
	}
}

func (b *baseline) report(entry int) {
	for i, e := range b.s.engines {
		b.loadViews[entry][i] = b.load(e)
	}
	b.s.After(time.Second, func() { b.report(entry) })
}

// leastLoaded picks the engine with the least load per capacity that the instance knows of.
func (b *baseline) leastLoaded(a arrival) int {
	best := a.entryIndex % len(b.s.engines)
	for i := range b.s.engines {
		best = b.lessLoaded(a, best, i)
	}
	return best
}

// twoChoices picks the less loaded of two random engines.
func (b *baseline) twoChoices(a arrival) int {
	n := len(b.s.engines)
	first := b.s.rng.IntN(n)
	second := (first + 1 + b.s.rng.IntN(n-1)) % n
	return b.lessLoaded(a, first, second)
}

// lessLoaded returns the index of the engine with less load per capacity, i if they are equal.
func (b *baseline) lessLoaded(a arrival, i, k int) int {
	view := b.loadViews[b.entryInstance(a)]
	if float64(view[k])/b.s.engineRows[k].Capacity < float64(view[i])/b.s.engineRows[i].Capacity {
		return k
	}
	return i
}

// oracle is a policy that knows all caches and loads exactly. Among the engines within the load
// bound it chooses the least loaded one that has the chat's prefix cached, otherwise the least
// loaded one. If there is none, requests wait in order of arrival.
type oracle struct {
	*baseline
	waiting []*harness.Call
}

func (o *oracle) submit(a arrival) *harness.Call {
	call := o.s.RecordCall(harness.ChatCall(a.customer, serviceID, a.chat), a.tokens)
	o.waiting = append(o.waiting, call)
	o.dispatch()
	return call
}

func (o *oracle) enginesChanged() { o.dispatch() }

// dispatch starts waiting requests in order while an engine can take the first one.
func (o *oracle) dispatch() {
	for len(o.waiting) > 0 {
		e := o.choose(o.waiting[0].Chat)
		if e == nil {
			return
		}
		call := o.waiting[0]
		o.waiting = o.waiting[1:]
		o.queue(e).running++
		o.s.RunDirect(e, call, func() {
			o.queue(e).running--
			o.dispatch()
		})
	}
}

// choose returns the engine for a request of a chat, or nil if no engine can take it.
func (o *oracle) choose(chat fleet.ChatKey) *harness.Engine {
	total, capacity := 0, 0.0
	for i, e := range o.s.engines {
		total += o.load(e)
		capacity += o.s.engineRows[i].Capacity
	}
	var best *harness.Engine
	bestCached, bestLoad := false, 0.0
	for i, e := range o.s.engines {
		row := o.s.engineRows[i]
		limit := min(row.Slots, affinity.Bound(loadBound, total, capacity, row.Capacity))
		if o.load(e) >= limit {
			continue
		}
		cached, load := e.Cached(chat), float64(o.load(e))/row.Capacity
		if best == nil || cached && !bestCached || cached == bestCached && load < bestLoad {
			best, bestCached, bestLoad = e, cached, load
		}
	}
	return best
}
