package demo

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
)

const (
	// sampleEvery is the interval between two samples of the engines' load.
	sampleEvery = 20 * time.Millisecond
	// staleness is the age that a home's view of the pool may have: heartbeats announce
	// changed load at most every 100 ms, and a sample adds its own interval.
	staleness = 200 * time.Millisecond
	// leastMean is the least mean load per unit of capacity at which a sample counts. Below
	// it the bound is one or two requests, and its ratio to the mean says nothing.
	leastMean = 4
	// takeoverTime is how long homes of a killed instance's engines may be in takeover: the
	// silence before the instance counts as gone, and the takeover window.
	takeoverTime = 8 * time.Second
	// takeoverShare is what the design allows above the bound while an engine changes its home.
	takeoverShare = 0.25
)

// skew samples the requests in flight on each engine of a service.
type skew struct {
	// stopped is the engine that is left out because it is being stopped.
	stopped atomic.Value
	// killed is the time at which an instance was killed, in Unix nanoseconds, or zero.
	killed atomic.Int64

	samples  int
	sumRatio float64
	maxRatio float64
	sumCV    float64
	// rises counts engines whose load rose from one sample to the next, and overBound those
	// among them that rose above the load bound. An engine that is above the bound because
	// the others finished earlier breaks no rule: the bound holds at each admission.
	rises, overBound int
	// inTakeover and overInTakeover are those in the time after the kill, and overTakeover
	// counts what the takeover share does not allow either.
	inTakeover, overInTakeover, overTakeover int

	last  map[string]int
	pools []poolSample
}

// poolSample is a pool's load at one sample.
type poolSample struct {
	at       time.Time
	inFlight int
}

// watch samples until ctx ends.
func (s *skew) watch(ctx context.Context, world *World, service *Service, bound float64) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.sample(world, service, bound)
		case <-ctx.Done():
			return
		}
	}
}

// sample adds one sample.
func (s *skew) sample(world *World, service *Service, bound float64) {
	loads, now := map[string]int{}, time.Now()
	sum, capacity := 0, 0.0
	var engines []*Engine
	for _, engine := range service.Engines {
		if s.stopped.Load() == engine.ID {
			continue
		}
		engines = append(engines, engine)
		loads[engine.ID] = world.Engines[engine.ID].InFlight()
		sum += loads[engine.ID]
		capacity += engine.capacity()
	}
	most := s.recent(now, sum)
	s.checkRises(engines, loads, bound, most, capacity)
	s.last = loads
	if float64(sum) >= leastMean*capacity {
		s.add(engines, loads, float64(sum)/capacity)
	}
}

// recent returns the highest load of the pool that a home may still have in view.
func (s *skew) recent(now time.Time, sum int) int {
	s.pools = append(s.pools, poolSample{now, sum})
	for now.Sub(s.pools[0].at) > staleness {
		s.pools = s.pools[1:]
	}
	most := 0
	for _, p := range s.pools {
		most = max(most, p.inFlight)
	}
	return most
}

func (s *skew) checkRises(engines []*Engine, loads map[string]int, bound float64, pool int, capacity float64) {
	for _, engine := range engines {
		before, known := s.last[engine.ID]
		if !known || loads[engine.ID] <= before {
			continue
		}
		s.rises++
		// The bound at an admission holds for the pool with that request included.
		limit := affinity.Bound(bound, pool-1, capacity, engine.capacity())
		s.checkRise(loads[engine.ID], limit)
	}
}

func (s *skew) checkRise(load, limit int) {
	if load > limit {
		s.overBound++
	}
	killed := s.killed.Load()
	if killed == 0 || time.Since(time.Unix(0, killed)) > takeoverTime {
		return
	}
	s.inTakeover++
	if load > limit {
		s.overInTakeover++
	}
	if load > limit+max(1, int(takeoverShare*float64(limit))) {
		s.overTakeover++
	}
}

// add adds the ratios of a sample: loads per unit of capacity against their mean.
func (s *skew) add(engines []*Engine, loads map[string]int, mean float64) {
	highest, squares := 0.0, 0.0
	for _, engine := range engines {
		load := float64(loads[engine.ID]) / engine.capacity()
		highest = max(highest, load)
		squares += (load - mean) * (load - mean)
	}
	s.samples++
	s.sumRatio += highest / mean
	s.maxRatio = max(s.maxRatio, highest/mean)
	s.sumCV += math.Sqrt(squares/float64(len(engines))) / mean
}

func (e *Engine) capacity() float64 {
	if e.Capacity > 0 {
		return e.Capacity
	}
	return 1
}
