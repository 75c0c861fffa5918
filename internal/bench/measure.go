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

// meter samples the loads of engines and counts run starts above the load bound during the
// measured time.
type meter struct {
	active                  bool
	startedAt               time.Duration
	maxOverMean, variations []float64
	// utilisationSum is the sum of the sampled shares of slots in use.
	utilisationSum           float64
	starts, startsAboveBound int
	// cachePlaces holds, for each request of the trace, where its prefix was cached at its arrival.
	cachePlaces      []cachePlace
	worstRatio       float64
	bytesBefore      map[wire.Kind]int
	storeCallsBefore map[string]int
	bytes            map[wire.Kind]int
	storeCalls       map[string]int
}

// scheduleMeasurement schedules the start of the measurement at the end of the warm-up.
func (s *session) scheduleMeasurement() {
	s.OnRunStart = s.recordRunStart
	s.After(s.plan.warmUp, func() {
		s.meter.active, s.meter.startedAt = true, s.Now()
		s.meter.bytesBefore = copyCounts(s.PeerTraffic.Bytes)
		s.meter.storeCallsBefore = copyCounts(s.Store.Calls)
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

// stop ends the measurement and computes the traffic and the platform calls of the measured time.
func (m *meter) stop(s *session) {
	m.active = false
	m.bytes, m.storeCalls = copyCounts(s.PeerTraffic.Bytes), copyCounts(s.Store.Calls)
	for k, n := range m.bytesBefore {
		m.bytes[k] -= n
	}
	for k, n := range m.storeCallsBefore {
		m.storeCalls[k] -= n
	}
}

// sample records the skew of the loads per unit of capacity, and the utilisation, and schedules
// the next sample.
func (s *session) sample() {
	if !s.meter.active {
		return
	}
	sum, largest, squares, n := 0.0, 0.0, 0.0, float64(len(s.engines))
	running, slots := 0, 0
	for i, e := range s.engines {
		load := float64(s.router.load(e)) / s.engineRows[i].Capacity
		sum += load
		squares += load * load
		largest = max(largest, load)
		running += e.InFlight()
		slots += s.engineRows[i].Slots
	}
	if mean := sum / n; mean > 0 {
		s.meter.maxOverMean = append(s.meter.maxOverMean, largest/mean)
		s.meter.variations = append(s.meter.variations, math.Sqrt(max(0, squares/n-mean*mean))/mean)
	}
	s.meter.utilisationSum += float64(running) / float64(slots)
	s.After(sampleInterval, s.sample)
}

// recordRunStart compares the load of an engine after the start of a run with its bound,
// computed from the exact total load before the start. Engines that were replaced are left out.
func (s *session) recordRunStart(e *harness.Engine) {
	if !s.meter.active {
		return
	}
	total, capacity, current := 0, 0.0, false
	for i, other := range s.engines {
		total += other.InFlight()
		capacity += s.engineRows[i].Capacity
		current = current || other == e
	}
	if !current {
		return
	}
	bound := affinity.Bound(loadBound, total-1, capacity, s.byID[e.ID].Capacity)
	s.meter.starts++
	if e.InFlight() > bound {
		s.meter.startsAboveBound++
	}
	s.meter.worstRatio = max(s.meter.worstRatio, float64(e.InFlight())/float64(bound))
}

// result holds the figures measured in a session.
type result struct {
	plan plan
	// requests is the number of requests that arrived in the measured time, failed the number of
	// those that got no complete answer.
	requests, failed int
	// cacheReuse is the share of returning chats that found their prefix cached.
	cacheReuse float64
	// coldShares holds the share of returning chats that ran without a cached prefix, by where
	// the prefix was cached at their arrival.
	coldShares [cachePlaceCount]float64
	// skewMean and skewP99 are taken over the samples of the ratio of the largest to the mean load,
	// variation is the mean of the loads' coefficient of variation. All loads are per capacity.
	skewMean, skewP99 float64
	variation         float64
	utilisation       float64
	// shareAboveBound is the share of run starts above the load bound, worstRatio the largest ratio
	// of load to bound.
	shareAboveBound, worstRatio float64
	queueTime, firstTokenTime   quantiles
	extraAttempts               float64
	bytes                       map[wire.Kind]float64
	totalBytes                  float64
	storeCalls                  map[string]float64
	firstChoiceShare            float64
	// othersQueueTime and othersFirstTokenTime are taken over the requests of the other customers
	// that arrive during a surge.
	othersQueueTime, othersFirstTokenTime quantiles
	calls                                 []*harness.Call
	trace                                 []arrival
	traceStart                            time.Duration
	// redirects and queuedAnswers are numbers per grant.
	redirects, queuedAnswers float64
}

// quantiles holds quantiles of a duration.
type quantiles struct{ p50, p95, p99 time.Duration }

func quantilesOf(durations []time.Duration) quantiles {
	sort.Slice(durations, func(a, b int) bool { return durations[a] < durations[b] })
	at := func(q float64) time.Duration {
		if len(durations) == 0 {
			return 0
		}
		return durations[min(len(durations)-1, int(q*float64(len(durations))))]
	}
	return quantiles{at(0.5), at(0.95), at(0.99)}
}

func (s *session) result() result {
	r := result{plan: s.plan, calls: s.calls, trace: s.trace, traceStart: s.traceStart}
	s.fillCallFigures(&r)
	m := &s.meter
	r.skewMean, r.variation = mean(m.maxOverMean), mean(m.variations)
	sort.Float64s(m.maxOverMean)
	if len(m.maxOverMean) > 0 {
		r.skewP99 = m.maxOverMean[len(m.maxOverMean)*99/100]
		r.utilisation = m.utilisationSum / float64(len(m.maxOverMean))
	}
	r.shareAboveBound, r.worstRatio = float64(m.startsAboveBound)/float64(max(1, m.starts)), m.worstRatio
	s.fillTrafficFigures(&r)
	return r
}

// fillCallFigures computes the figures of the requests that arrived in the measured time.
func (s *session) fillCallFigures(r *result) {
	var queueTimes, firstTokenTimes, othersQueueTimes, othersFirstTokenTimes []time.Duration
	returning, cached, extraRuns := 0, 0, 0
	for i, a := range s.trace {
		call := s.calls[i]
		if a.at < s.plan.warmUp || call == nil {
			continue
		}
		r.requests++
		extraRuns += max(0, call.Runs-1)
		if call.Result != harness.Complete {
			r.failed++
			continue
		}
		if a.returning {
			returning++
			if call.Cached {
				cached++
			} else {
				r.coldShares[s.meter.cachePlaces[i]]++
			}
		}
		queueTimes = append(queueTimes, call.FirstRun-call.Start)
		firstTokenTimes = append(firstTokenTimes, call.FirstToken-call.Start)
		if s.plan.surge.includesOther(a) {
			othersQueueTimes = append(othersQueueTimes, call.FirstRun-call.Start)
			othersFirstTokenTimes = append(othersFirstTokenTimes, call.FirstToken-call.Start)
		}
	}
	r.cacheReuse = float64(cached) / float64(max(1, returning))
	for place := range r.coldShares {
		r.coldShares[place] /= float64(max(1, returning))
	}
	r.extraAttempts = float64(extraRuns) / float64(max(1, r.requests))
	r.queueTime, r.firstTokenTime = quantilesOf(queueTimes), quantilesOf(firstTokenTimes)
	r.othersQueueTime, r.othersFirstTokenTime = quantilesOf(othersQueueTimes), quantilesOf(othersFirstTokenTimes)
}

// includesOther reports whether a request arrives during the surge and belongs to another
// customer than the one that causes it. It is false without a surge.
func (u *surge) includesOther(a arrival) bool {
	return u != nil && a.customer != customerID(u.customer) && a.at >= u.from && a.at < u.to
}

// fillTrafficFigures computes the rates of peer traffic and platform calls in the measured time,
// and the figures per grant over the whole session. It leaves them empty for a policy without
// instances.
func (s *session) fillTrafficFigures(r *result) {
	n := float64(len(s.Nodes))
	if n == 0 {
		return
	}
	span := s.plan.measureTime.Seconds()
	r.bytes, r.storeCalls = make(map[wire.Kind]float64), make(map[string]float64)
	total := 0
	for kind, bytes := range s.meter.bytes {
		r.bytes[kind] = float64(bytes) / span / n
		total += bytes
	}
	r.totalBytes = float64(total) / span / n
	for kind, calls := range s.meter.storeCalls {
		r.storeCalls[kind] = float64(calls) / span
	}
	granted := 0.0
	for _, node := range s.Nodes {
		r.firstChoiceShare += float64(node.Counters["first_choice_grants"])
		granted += float64(node.Counters["first_choice_grants"] + node.Counters["overflow_grants"])
		r.redirects += float64(node.Counters["redirects"])
		r.queuedAnswers += float64(node.Counters["queued"])
	}
	granted = max(1, granted)
	r.firstChoiceShare, r.redirects, r.queuedAnswers = r.firstChoiceShare/granted, r.redirects/granted, r.queuedAnswers/granted
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}
