package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/replica"
)

// Guards against an engine's failure response, or a further engine, for a request of which a part has reached
// the caller when no attempt is allowed any more: the gateway then closes the caller's connection.
func TestBrokenStreamEndsWithARefusal(t *testing.T) {
	for name, change := range map[string]func(s *session){
		"no other engine": func(s *session) {
			s.step(KeysChanged{Facts: []replica.Fact{{Key: "engines/e0", Revision: 300, Deleted: true}, {Key: "engines/e1", Revision: 300, Deleted: true}, {Key: "engines/e2", Revision: 300, Deleted: true}}, AtRevision: 300})
		},
		"retry budget used up": func(s *session) {
			s.r.cfg.RetryRatio, s.r.cfg.RetryReserve = 0, 0
			s.r.divideBudgets()
		},
		"no time left":    func(s *session) { s.advance(time.Second - minRetryTime) },
		"stopping":        func(s *session) { s.step(DrainRequested{}); s.advance(time.Second - minRetryTime) },
		"attempts are up": func(s *session) { s.r.calls[s.last].possibleRuns++ },
	} {
		for _, held := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, failure held back: %v", name, held), func(t *testing.T) {
				s := newSession(t, 3)
				s.call("/chat/x")
				if held {
					s.endAttempt(Errored)
					must[Send](s)
				}
				change(s)
				s.step(AttemptEnded{Call: s.last, Outcome: Broken, Delivered: true})
				must[Refuse](s)
				_, sent := find[Send](s)
				_, delivered := find[DeliverFailure](s)
				require.False(t, sent || delivered)
			})
		}
	}
}

// Guards against a second engine's response behind the part of a response that has reached the caller.
func TestBrokenLargeResponseIsNotRepeated(t *testing.T) {
	s := newSession(t, 3)
	s.call("/get/x")
	s.step(AttemptEnded{Call: s.last, Outcome: Broken, Delivered: true})
	_, sent := find[Send](s)
	require.False(t, sent)
	require.Equal(t, MayHaveRun, must[Refuse](s).Refusal)
}

// Guards against a second run of a stream that can't go on where it broke off.
func TestBrokenStreamWithoutAnIDIsNotRepeated(t *testing.T) {
	s := newSession(t, 3)
	s.call("/chat/x")
	s.step(AttemptEnded{Call: s.last, Outcome: Broken, Delivered: true, EndsWithoutID: true})
	_, sent := find[Send](s)
	require.False(t, sent)
	require.Equal(t, MayHaveRun, must[Refuse](s).Refusal)
}
