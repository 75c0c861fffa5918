package gateway

import (
	"sync/atomic"

	"github.com/bilberrywell/bilberrywell/internal/router"
)

// attemptState is how far an attempt has come, as its own goroutine and the one that executes the router's effects
// see it: 0 at first, then responseBegun or responseFixed, or the outcome with which the router ended the attempt.
type attemptState struct{ value atomic.Uint32 }

const (
	// responseBegun means that the caller has a part of a stream, with which another engine may go on.
	responseBegun uint32 = 1<<31 + iota
	// responseFixed means that the caller has a part of a response that no other engine can complete.
	responseFixed
)

// begin sets responseBegun or responseFixed. It returns false if the router has ended the attempt.
func (s *attemptState) begin(state uint32) bool {
	for {
		current := s.value.Load()
		if current != 0 && current < responseBegun {
			return false
		}
		if s.value.CompareAndSwap(current, max(current, state)) {
			return true
		}
	}
}

// end sets the outcome with which the router ends the attempt. It returns false if the attempt must go on: it has
// been ended already, or the caller has a part of its response that would be lost.
func (s *attemptState) end(as router.Outcome) bool {
	return s.value.CompareAndSwap(0, uint32(as)) || as == router.Stalled && s.value.CompareAndSwap(responseBegun, uint32(as))
}

// fixed reports whether the caller has a part of a response that no other engine can complete.
func (s *attemptState) fixed() bool { return s.value.Load() == responseFixed }

// endedAs returns the outcome with which the router ended the attempt, and false if it did not.
func (s *attemptState) endedAs() (router.Outcome, bool) {
	value := s.value.Load()
	return router.Outcome(value), value != 0 && value < responseBegun
}
