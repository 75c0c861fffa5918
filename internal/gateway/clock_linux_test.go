package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a clock of the machine that can't be read, or that differs from the monotonic one without a suspension.
func TestClocksOfTheMachineAgree(t *testing.T) {
	for _, read := range []func() time.Duration{sinceBoot, func() time.Duration { return 0 }} {
		c := newClock(read)
		for range 1000 {
			c.noticeSuspension()
		}
		require.Zero(t, c.suspended.Load())
	}
	require.Positive(t, sinceBoot())
}
