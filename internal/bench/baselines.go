package bench

import (
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/harness"
)

// The policies. The oracle knows every cache and every load.
const (
	policyFleet      = "fleet"
	policyOracle     = "oracle"
	policyRendezvous = "rendezvous"
	policyLeast      = "least loaded, 1 s lag"
	policyTwo        = "two choices, 1 s lag"
	policyRoundRobin = "round robin"
)

var policies = []string{policyFleet, policyOracle, policyRendezvous, policyLeast, policyTwo, policyRoundRobin}

func newRouter(s *session) router {
	if s.plan.policy == policyFleet {
		return newFleet(s)
	}
	b := &baseline{s: s, queues: make(map[fleet.EngineID]*engineQueue)}
	switch s.plan.policy {
	case policyOracle:
		return &oracle{baseline: b}
	case policyRendezvous:
		b.pick = b.rendezvous
	case policyLeast:
		b.pick = b.leastLoaded
		b.startReports()
	case policyTwo:
		b.pick = b.twoChoices
		b.startReports()
	default:
		b.turn = make([]int, s.plan.size.instances)
		b.pick = b.roundRobin
	}
	return b
}

// baseline places each request at once; requests above an engine's slots queue at the engine.
type baseline struct {
	s       *session
	pick    func(a arrival) int
	queues  map[fleet.EngineID]*engineQueue
	ranking *affinity.Pool
	turn    []int
	// views holds, by entry and place of the engine, the load as last reported and the
	// requests sent since.
	views [][]int
}

// engineQueue is the queue in front of an engine's slots.
type engineQueue struct {
	running int
	waiting []*harness.Call
}

func (b *baseline) submit(a arrival) *harness.Call {
	call := b.s.RecordCall(harness.Chat(a.customer, service, a.chat), a.tokens)
	at := b.pick(a)
	if b.views != nil {
		b.views[b.entry(a)][at]++
	}
	engine := b.s.engines[at]
	q := b.queue(engine)
	q.waiting = append(q.waiting, call)
	b.drain(engine, q)
	return call
}

func (b *baseline) entry(a arrival) int { return a.entry % b.s.plan.size.instances }

func (b *baseline) queue(e *harness.Engine) *engineQueue {
	q := b.queues[e.ID]
	if q == nil {
		q = &engineQueue{}
		b.queues[e.ID] = q
	}
	return q
}

func (b *baseline) drain(e *harness.Engine, q *engineQueue) {
	for q.running < b.s.byID[e.ID].Slots && len(q.waiting) > 0 {
		call := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running++
		b.s.RunDirect(e, call, func() {
			q.running--
			b.drain(e, q)
		})
	}
}

func (b *baseline) load(e *harness.Engine) int {
	q := b.queue(e)
	return q.running + len(q.waiting)
}

func (b *baseline) enginesChanged() {
	candidates := make([]affinity.Candidate, len(b.s.rows))
	for i, row := range b.s.rows {
		candidates[i] = affinity.Candidate{ID: string(row.ID), Weight: row.Capacity}
	}
	b.ranking = affinity.NewPool(candidates)
}

func (b *baseline) rendezvous(a arrival) int {
	return b.ranking.Top(uint64(fleet.ChatKeyOf(a.customer, a.chat)), 1, nil)[0].Index
}

func (b *baseline) roundRobin(a arrival) int {
	entry := b.entry(a)
	b.turn[entry]++
	return (b.turn[entry] + entry) % len(b.s.engines)
}

// startReports gives every entry a report of all engines each second, at a time of its own.
func (b *baseline) startReports() {
	b.views = make([][]int, b.s.plan.size.instances)
	for i := range b.views {
		b.views[i] = make([]int, len(b.s.engines))
		offset := time.Duration(b.s.rng.Int64N(int64(time.Second)))
		b.s.After(offset, func() { b.report(i) })
	}
}

func (b *baseline) report(entry int) {
	for i, e := range b.s.engines {
		b.views[entry][i] = b.load(e)
	}
	b.s.After(time.Second, func() { b.report(entry) })
}

func (b *baseline) leastLoaded(a arrival) int {
	best := a.entry % len(b.s.engines)
	for i := range b.s.engines {
		best = b.lighter(a, best, i)
	}
	return best
}

func (b *baseline) twoChoices(a arrival) int {
	n := len(b.s.engines)
	first := b.s.rng.IntN(n)
	second := (first + 1 + b.s.rng.IntN(n-1)) % n
	return b.lighter(a, first, second)
}

func (b *baseline) lighter(a arrival, i, k int) int {
	view := b.views[b.entry(a)]
	if float64(view[k])/b.s.rows[k].Capacity < float64(view[i])/b.s.rows[i].Capacity {
		return k
	}
	return i
}

// oracle knows every cache and load exactly. It takes the least loaded warm engine within the
// load bound, else the least loaded engine, else a queue in order of arrival.
type oracle struct {
	*baseline
	waiting []*harness.Call
}

func (o *oracle) submit(a arrival) *harness.Call {
	call := o.s.RecordCall(harness.Chat(a.customer, service, a.chat), a.tokens)
	o.waiting = append(o.waiting, call)
	o.serve()
	return call
}

func (o *oracle) enginesChanged() { o.serve() }

// serve starts waiting requests while an engine has room.
func (o *oracle) serve() {
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
			o.serve()
		})
	}
}

func (o *oracle) choose(chat fleet.ChatKey) *harness.Engine {
	total, capacity := 0, 0.0
	for i, e := range o.s.engines {
		total += o.load(e)
		capacity += o.s.rows[i].Capacity
	}
	var best *harness.Engine
	bestWarm, bestLoad := false, 0.0
	for i, e := range o.s.engines {
		row := o.s.rows[i]
		limit := min(row.Slots, affinity.Bound(loadBound, total, capacity, row.Capacity))
		if o.load(e) >= limit {
			continue
		}
		warm, load := e.Cached(chat), float64(o.load(e))/row.Capacity
		if best == nil || warm && !bestWarm || warm == bestWarm && load < bestLoad {
			best, bestWarm, bestLoad = e, warm, load
		}
	}
	return best
}
