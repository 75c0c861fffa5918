package demo

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
)

// sampleEvery is the interval between two samples of the engines' load.
const sampleEvery = 50 * time.Millisecond

// skew samples the requests in flight on each engine of a service.
type skew struct {
	// stopped is the engine that is left out because it is being stopped.
	stopped atomic.Value

	samples   int
	overBound int
	sumRatio  float64
	maxRatio  float64
	sumCV     float64
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

// sample adds one sample, unless there is less than one request per engine: its ratios
// would say nothing.
func (s *skew) sample(world *World, service *Service, bound float64) {
	var loads, capacities []float64
	sum, capacity := 0.0, 0.0
	for _, engine := range service.Engines {
		if s.stopped.Load() == engine.ID {
			continue
		}
		load := float64(world.Engines[engine.ID].InFlight())
		loads, capacities = append(loads, load), append(capacities, engine.capacity())
		sum += load
		capacity += engine.capacity()
	}
	if sum < float64(len(loads)) {
		return
	}
	s.add(loads, sum)
	if anyOver(loads, capacities, sum, capacity, bound) {
		s.overBound++
	}
}

// anyOver reports whether any load exceeds the load bound.
func anyOver(loads, capacities []float64, sum, capacity, bound float64) bool {
	for i, load := range loads {
		// The bound at the last admission held for the pool with that request included.
		if int(load) > affinity.Bound(bound, int(sum)-1, capacity, capacities[i]) {
			return true
		}
	}
	return false
}

func (s *skew) add(loads []float64, sum float64) {
	mean, highest, squares := sum/float64(len(loads)), 0.0, 0.0
	for _, load := range loads {
		highest = max(highest, load)
		squares += (load - mean) * (load - mean)
	}
	s.samples++
	s.sumRatio += highest / mean
	s.maxRatio = max(s.maxRatio, highest/mean)
	s.sumCV += math.Sqrt(squares/float64(len(loads))) / mean
}

func (e *Engine) capacity() float64 {
	if e.Capacity > 0 {
		return e.Capacity
	}
	return 1
}
