package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/router"
)

// Guards against an attempt that is ended for another engine, or at the end of a stop, when its response has begun in
// the same moment, and against a response that begins after the attempt was ended.
func TestAttemptStateDecidesOnce(t *testing.T) {
	for name, c := range map[string]struct {
		begin                uint32
		stalled, interrupted bool
	}{
		"nothing delivered":  {0, true, true},
		"part of a stream":   {responseBegun, true, false},
		"part of a response": {responseFixed, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			for outcome, want := range map[router.Outcome]bool{router.Stalled: c.stalled, router.Interrupted: c.interrupted} {
				var s attemptState
				if c.begin != 0 {
					require.True(t, s.begin(c.begin))
				}
				require.Equal(t, want, s.end(outcome))
				ended, ok := s.endedAs()
				require.Equal(t, want, ok)
				require.Equal(t, want, ok && ended == outcome)
				require.Equal(t, !want, s.begin(responseFixed), "a response must not begin after the end")
				require.False(t, s.end(outcome))
			}
		})
	}
	var s attemptState
	require.True(t, s.begin(responseFixed))
	require.True(t, s.begin(responseBegun))
	require.False(t, s.end(router.Stalled), "what is fixed stays so")
}
