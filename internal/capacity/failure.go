package capacity

import (
	"fmt"
	"io"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// failureRampTime is the time under load before the failure, which fills the engines in part.
	failureRampTime = 8 * time.Second
	// failureTime is the time measured after a change. It covers the time until the killed instance
	// counts as gone, the takeover and the return to a steady state.
	failureTime = 12 * time.Second
)

// Failures kills and restarts one instance under load. It prints the registration messages and the
// platform calls that follow each change.
func Failures(w io.Writer, sizes []int) error {
	for _, n := range sizes {
		s, err := newSimulatedRegion(n)
		if err != nil {
			return err
		}
		s.phase(failureRampTime, requestRatePerInstance)
		node := s.harness.Nodes[n/2]
		node.Kill()
		s.failurePhase(w, "killed")
		node.Start()
		s.failurePhase(w, "restarted")
	}
	return nil
}

func (s *simulatedRegion) failurePhase(w io.Writer, event string) {
	got := s.phase(failureTime, 0)
	instanceSeconds := failureTime.Seconds() * float64(s.instances)
	register, done := wire.KindRegister.String(), wire.KindRegisterDone.String()
	fmt.Fprintf(w, "%d instances, %d engines, one %s: %s %.0f messages %.0f B, %s %.0f messages %.0f B, gets %.0f, watches %.0f\n",
		s.instances, s.engines, event, register, got.messages[register]*instanceSeconds, got.bytes[register]*instanceSeconds,
		done, got.messages[done]*instanceSeconds, got.bytes[done]*instanceSeconds, got.calls["get"]*instanceSeconds, got.calls["watch"]*instanceSeconds)
}
