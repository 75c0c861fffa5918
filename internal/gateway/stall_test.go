package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/router"
)

// Guards against a stream that is ended for another engine although an event has arrived while the router was busy, as it is
// when a configuration comes into force.
func TestEventThatArrivesWhileTheRouterIsBusy(t *testing.T) {
	for name, arrives := range map[string]bool{"event": true, "nothing": false} {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{router: router.New(router.Config{}), metrics: newMetrics(), clock: newClock(sinceBoot)}
			a := &attempt{callerRequest: &callerRequest{g: g}}
			reported, done := make(chan bool), make(chan bool)
			g.mu.Lock()
			watch := newStallWatch(time.Millisecond, func(silent func() bool) {
				reported <- true
				a.reportStall(silent)
				close(done)
			})
			<-reported
			if arrives {
				watch.reset(time.Minute)
			}
			g.mu.Unlock()
			<-done
			watch.reset(0)
			var text strings.Builder
			g.metrics.set.WritePrometheus(&text)
			require.Equal(t, arrives, strings.Contains(text.String(), "bilberry_late_reads_total 1"), text.String())
		})
	}
}
