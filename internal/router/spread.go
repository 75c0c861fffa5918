package router

import "time"

const (
	// spreadWeight is the weight of one duration in a spread.
	spreadWeight = 0.05
	// spreadMinCount is the number of durations from which a spread is known.
	spreadMinCount = 20
	// spreadFactor is the number of mean deviations above the mean that few durations exceed.
	spreadFactor = 4
)

// spread describes durations by their decaying mean and mean deviation.
type spread struct {
	count           int
	mean, deviation time.Duration
}

func (s *spread) add(d time.Duration) {
	s.count++
	if s.count == 1 {
		s.mean, s.deviation = d, d/2
		return
	}
	s.deviation += time.Duration(spreadWeight * float64((d-s.mean).Abs()-s.deviation))
	s.mean += time.Duration(spreadWeight * float64(d-s.mean))
}

// usual returns the mean, or 0 while nothing was added.
func (s *spread) usual() time.Duration { return s.mean }

// known reports whether enough durations were added for atMost.
func (s *spread) known() bool { return s.count >= spreadMinCount }

// atMost returns a duration that few exceed.
func (s *spread) atMost() time.Duration { return s.mean + spreadFactor*s.deviation }
