package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// Guards against engines that are paused, and requests that peers suspect of crashes, because an instance has lost its
// own path to them.
func TestLostPathIsNoFailureOfTheEngine(t *testing.T) {
	for _, noPath := range []bool{true, false} {
		s := newSession(t, 1)
		s.link(1)
		s.call("/post/x")
		s.endAttempt(Broken)
		s.call("/get/x")
		s.step(AttemptEnded{Call: s.last, Outcome: Unsent, NoPath: noPath})
		require.Equal(t, !noPath, s.hasDecision("engine_paused"))
		require.Equal(t, !noPath, s.hasDecision("engine_crashed"))
		require.Equal(t, !noPath, strikeSent(s))
	}
}

func strikeSent(s *session) bool {
	for _, e := range s.out {
		if m, ok := e.(SendMessage); ok {
			if _, strike := m.Message.(*wire.Strike); strike {
				return true
			}
		}
	}
	return false
}
