package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
)

// Guards against a stream whose sound engine is silent for a moment and that is sent to an engine which has just crashed. Since its requests have ended it looks free, and the instances send it their stalled requests.
func TestStalledStreamStaysWhenTheOtherEngineIsLost(t *testing.T) {
	for name, c := range map[string]struct {
		fail     placement.Failure
		ago      time.Duration
		after    func(s *session, pool *servicePool, other fleet.EngineID)
		replaced bool
	}{
		"connection lost":              {fail: placement.ConnectionLost},
		"unreachable, after its pause": {fail: placement.Unreachable, ago: time.Second},
		"answered since": {fail: placement.ConnectionLost, replaced: true, after: func(s *session, pool *servicePool, other fleet.EngineID) {
			pool.engines.Succeeded(s.now, other, 0, 0)
		}},
		"long ago":   {fail: placement.ConnectionLost, ago: 4 * time.Second, replaced: true},
		"silent too": {fail: placement.NoAnswer, replaced: true},
	} {
		t.Run(name, func(t *testing.T) {
			replaced := stalledBeside(t, func(s *session, pool *servicePool, other fleet.EngineID) {
				pool.engines.Failed(s.now-c.ago, other, c.fail, 0)
				if c.after != nil {
					c.after(s, pool, other)
				}
			})
			require.Equal(t, c.replaced, replaced)
		})
	}
}
