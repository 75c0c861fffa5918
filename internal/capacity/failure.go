package capacity

import (
	"fmt"
	"io"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// failureRamp fills the engines in part before the failure.
	failureRamp = 8 * time.Second
	// failureTime covers the silence, the takeover and the settling of one change.
	failureTime = 12 * time.Second
)

// Failures kills and restarts one instance under load and prints the registrations that
// follow, and the platform calls of the start.
func Failures(w io.Writer, sizes []int) error {
	for _, n := range sizes {
		s, err := newSession(n)
		if err != nil {
			return err
		}
		s.phase(failureRamp, requestsPerInstance)
		victim := s.h.Nodes[n/2]
		victim.Kill()
		s.failurePhase(w, "killed")
		victim.Start()
		s.failurePhase(w, "restarted")
	}
	return nil
}

func (s *session) failurePhase(w io.Writer, what string) {
	got := s.phase(failureTime, 0)
	per := failureTime.Seconds() * float64(s.n)
	register, done := wire.KindRegister.String(), wire.KindRegisterDone.String()
	fmt.Fprintf(w, "%d instances, %d engines, one %s: %s %.0f messages %.0f B, %s %.0f messages %.0f B, gets %.0f, watches %.0f\n",
		s.n, s.engines, what, register, got.messages[register]*per, got.bytes[register]*per,
		done, got.messages[done]*per, got.bytes[done]*per, got.calls["get"]*per, got.calls["watch"]*per)
}
