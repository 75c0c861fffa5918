package demo

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
)

const (
	// sampleInterval is the interval between two samples of the engines' load.
	sampleInterval = 20 * time.Millisecond
	// maxViewAge is the maximum age of the pool's load as an engine's home sees it. Heartbeats
	// announce changed load at most every 100 ms, and sampling adds its own interval.
	maxViewAge = 200 * time.Millisecond
	// minMeanLoad is the minimum mean load per unit of capacity at which a sample counts. Below it
	// the bound is one or two requests, and the ratio of loads to the mean is meaningless.
	minMeanLoad = 4
	// takeoverTime is the time after a kill in which the homes of the instance's engines may be in
	// takeover. It covers the time until the instance counts as gone and the takeover window.
	takeoverTime = 8 * time.Second
	// takeoverShare is the share by which the design lets an engine's load exceed the bound while
	// the engine changes its home.
	takeoverShare = 0.25
)

// skewSampler samples the requests in flight on each engine of a service.
type skewSampler struct {
	// stoppedEngine is the ID of the engine that is omitted because of its planned stop.
	stoppedEngine atomic.Value
	// killedAt is the time at which an instance was killed, in Unix nanoseconds, or zero.
	killedAt atomic.Int64

	samples  int
	sumRatio float64
	maxRatio float64
	sumCV    float64
	// increases counts the times that an engine's load increased from one sample to the next, and
	// increasesOverBound those that ended above the load bound. A load above the bound without an
	// increase is allowed, because the bound applies at each admission only: the other engines may
	// have finished their requests earlier.
	increases, increasesOverBound int
	// takeoverIncreases and takeoverIncreasesOverBound count those within takeoverTime after the
	// kill, and increasesOverTakeoverShare those of them that exceed even the takeover share.
	takeoverIncreases, takeoverIncreasesOverBound, increasesOverTakeoverShare int

	lastLoads   map[string]int
	recentPools []poolSample
}

// poolSample is a pool's load at one sample.
type poolSample struct {
	at       time.Time
	inFlight int
}

// sampleUntilDone samples until ctx ends.
func (s *skewSampler) sampleUntilDone(ctx context.Context, standIns *StandIns, service *Service, bound float64) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.addSample(standIns, service, bound)
		case <-ctx.Done():
			return
		}
	}
}

// addSample takes one sample.
func (s *skewSampler) addSample(standIns *StandIns, service *Service, bound float64) {
	loads, now := map[string]int{}, time.Now()
	sum, capacity := 0, 0.0
	var engines []*Engine
	for _, engine := range service.Engines {
		if s.stoppedEngine.Load() == engine.ID {
			continue
		}
		engines = append(engines, engine)
		loads[engine.ID] = standIns.Engines[engine.ID].InFlight()
		sum += loads[engine.ID]
		capacity += engine.capacity()
	}
	recentMax := s.recentMaxLoad(now, sum)
	s.checkIncreases(engines, loads, bound, recentMax, capacity)
	s.lastLoads = loads
	if float64(sum) >= minMeanLoad*capacity {
		s.addRatios(engines, loads, float64(sum)/capacity)
	}
}

// recentMaxLoad records the pool's load and returns its maximum within maxViewAge, which is the highest
// load that a home may still assume.
func (s *skewSampler) recentMaxLoad(now time.Time, sum int) int {
	s.recentPools = append(s.recentPools, poolSample{now, sum})
	for now.Sub(s.recentPools[0].at) > maxViewAge {
		s.recentPools = s.recentPools[1:]
	}
	most := 0
	for _, p := range s.recentPools {
		most = max(most, p.inFlight)
	}
	return most
}

func (s *skewSampler) checkIncreases(engines []*Engine, loads map[string]int, bound float64, poolLoad int, capacity float64) {
	for _, engine := range engines {
		before, known := s.lastLoads[engine.ID]
		if !known || loads[engine.ID] <= before {
			continue
		}
		s.increases++
		// The bound at an admission is computed from the pool's load with that request included.
		limit := affinity.Bound(bound, poolLoad-1, capacity, engine.capacity())
		s.checkIncrease(loads[engine.ID], limit)
	}
}

func (s *skewSampler) checkIncrease(load, limit int) {
	if load > limit {
		s.increasesOverBound++
	}
	killed := s.killedAt.Load()
	if killed == 0 || time.Since(time.Unix(0, killed)) > takeoverTime {
		return
	}
	s.takeoverIncreases++
	if load > limit {
		s.takeoverIncreasesOverBound++
	}
	if load > limit+max(1, int(takeoverShare*float64(limit))) {
		s.increasesOverTakeoverShare++
	}
}

// addRatios adds a sample's ratio of the highest load per unit of capacity to the mean, and the
// coefficient of variation of the loads.
func (s *skewSampler) addRatios(engines []*Engine, loads map[string]int, mean float64) {
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
