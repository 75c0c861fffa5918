package bench

import (
	"math"
	"sort"
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/internal/harness"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// sampleInterval is the time between samples of the engines' loads.
const sampleInterval = 100 * time.Millisecond

// meter samples loads and counts starts above the bound during the measured time.
type meter struct {
	on                 bool
	from               time.Duration
	ratios, variations []float64
	utilisation        float64
	starts, above      int
	// warmAt tells, by request of the trace, where its prefix is cached at its arrival.
	warmAt      []warmPlace
	worst       float64
	bytesBefore map[wire.Kind]int
	storeBefore map[string]int
	bytes       map[wire.Kind]int
	store       map[string]int
}

// measure begins the measurement after the warm-up.
func (s *session) measure() {
	s.OnRunStart = s.runStarted
	s.After(s.plan.warm, func() {
		s.meter.on, s.meter.from = true, s.Now()
		s.meter.bytesBefore = copyCounts(s.Bytes.Bytes)
		s.meter.storeBefore = copyCounts(s.Store.Calls)
		s.sample()
	})
}

func copyCounts[K comparable](m map[K]int) map[K]int {
	c := make(map[K]int, len(m))
	for k, n := range m {
		c[k] = n
	}
	return c
}

func (m *meter) stop(s *session) {
	m.on = false
	m.bytes, m.store = copyCounts(s.Bytes.Bytes), copyCounts(s.Store.Calls)
	for k, n := range m.bytesBefore {
		m.bytes[k] -= n
	}
	for k, n := range m.storeBefore {
		m.store[k] -= n
	}
}

// sample takes the skew of the loads, weighted by capacity.
func (s *session) sample() {
	if !s.meter.on {
		return
	}
	sum, largest, squares, n := 0.0, 0.0, 0.0, float64(len(s.engines))
	running, slots := 0, 0
	for i, e := range s.engines {
		load := float64(s.router.load(e)) / s.rows[i].Capacity
		sum += load
		squares += load * load
		largest = max(largest, load)
		running += e.InFlight()
		slots += s.rows[i].Slots
	}
	if mean := sum / n; mean > 0 {
		s.meter.ratios = append(s.meter.ratios, largest/mean)
		s.meter.variations = append(s.meter.variations, math.Sqrt(max(0, squares/n-mean*mean))/mean)
	}
	s.meter.utilisation += float64(running) / float64(slots)
	s.After(sampleInterval, s.sample)
}

// runStarted compares an engine's load after a start with its bound by the exact total.
func (s *session) runStarted(e *harness.Engine) {
	if !s.meter.on {
		return
	}
	total, capacity, current := 0, 0.0, false
	for i, other := range s.engines {
		total += other.InFlight()
		capacity += s.rows[i].Capacity
		current = current || other == e
	}
	if !current {
		return
	}
	bound := affinity.Bound(loadBound, total-1, capacity, s.byID[e.ID].Capacity)
	s.meter.starts++
	if e.InFlight() > bound {
		s.meter.above++
	}
	s.meter.worst = max(s.meter.worst, float64(e.InFlight())/float64(bound))
}

// result is what a session measured.
type result struct {
	plan plan
	// requests counts those that arrived in the measured time, and failed those of them without an answer.
	requests, failed int
	// reuse is the share of returning chats that found their prefix cached.
	reuse float64
	// cold holds the shares of returning chats that ran cold, by where they were warm.
	cold              [placesEnd]float64
	skewMean, skewP99 float64
	variation         float64
	utilisation       float64
	aboveBound, worst float64
	queue, first      quantiles
	extra             float64
	bytes             map[wire.Kind]float64
	totalBytes        float64
	store             map[string]float64
	firstChoice       float64
	// othersQueue and othersFirst are of the other customers during a surge.
	othersQueue, othersFirst quantiles
	calls                    []*harness.Call
	trace                    []arrival
	origin                   time.Duration
	redirects, queuedN       float64
}

// quantiles of a time.
type quantiles struct{ p50, p95, p99 time.Duration }

func quantilesOf(list []time.Duration) quantiles {
	sort.Slice(list, func(a, b int) bool { return list[a] < list[b] })
	at := func(q float64) time.Duration {
		if len(list) == 0 {
			return 0
		}
		return list[min(len(list)-1, int(q*float64(len(list))))]
	}
	return quantiles{at(0.5), at(0.95), at(0.99)}
}

func (s *session) result() result {
	r := result{plan: s.plan, calls: s.calls, trace: s.trace, origin: s.origin}
	s.fillCalls(&r)
	m := &s.meter
	r.skewMean, r.variation = mean(m.ratios), mean(m.variations)
	sort.Float64s(m.ratios)
	if len(m.ratios) > 0 {
		r.skewP99 = m.ratios[len(m.ratios)*99/100]
		r.utilisation = m.utilisation / float64(len(m.ratios))
	}
	r.aboveBound, r.worst = float64(m.above)/float64(max(1, m.starts)), m.worst
	s.fillTraffic(&r)
	return r
}

// fillCalls derives the figures of the requests that arrived in the measured time.
func (s *session) fillCalls(r *result) {
	var queue, first, others, othersFirst []time.Duration
	returning, warm, runs := 0, 0, 0
	for i, a := range s.trace {
		call := s.calls[i]
		if a.at < s.plan.warm || call == nil {
			continue
		}
		r.requests++
		runs += max(0, call.Runs-1)
		if call.Result != harness.Complete {
			r.failed++
			continue
		}
		if a.returning {
			returning++
			if call.Cached {
				warm++
			} else {
				r.cold[s.meter.warmAt[i]]++
			}
		}
		queue = append(queue, call.FirstRun-call.Start)
		first = append(first, call.FirstToken-call.Start)
		if s.plan.surge.spares(a) {
			others = append(others, call.FirstRun-call.Start)
			othersFirst = append(othersFirst, call.FirstToken-call.Start)
		}
	}
	r.reuse = float64(warm) / float64(max(1, returning))
	for place := range r.cold {
		r.cold[place] /= float64(max(1, returning))
	}
	r.extra = float64(runs) / float64(max(1, r.requests))
	r.queue, r.first = quantilesOf(queue), quantilesOf(first)
	r.othersQueue, r.othersFirst = quantilesOf(others), quantilesOf(othersFirst)
}

// spares reports whether a request of another customer arrives during the surge.
func (u *surge) spares(a arrival) bool {
	return u != nil && a.customer != customerID(u.customer) && a.at >= u.from && a.at < u.to
}

func (s *session) fillTraffic(r *result) {
	n := float64(len(s.Nodes))
	if n == 0 {
		return
	}
	span := s.plan.measured.Seconds()
	r.bytes, r.store = make(map[wire.Kind]float64), make(map[string]float64)
	total := 0
	for kind, bytes := range s.meter.bytes {
		r.bytes[kind] = float64(bytes) / span / n
		total += bytes
	}
	r.totalBytes = float64(total) / span / n
	for kind, calls := range s.meter.store {
		r.store[kind] = float64(calls) / span
	}
	granted := 0.0
	for _, node := range s.Nodes {
		r.firstChoice += float64(node.Counters["first_choice_grants"])
		granted += float64(node.Counters["first_choice_grants"] + node.Counters["overflow_grants"])
		r.redirects += float64(node.Counters["redirects"])
		r.queuedN += float64(node.Counters["queued"])
	}
	granted = max(1, granted)
	r.firstChoice, r.redirects, r.queuedN = r.firstChoice/granted, r.redirects/granted, r.queuedN/granted
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(max(1, len(list)))
}
