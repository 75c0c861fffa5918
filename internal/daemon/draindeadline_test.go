package daemon_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/fleettest"
	"github.com/bilberrywell/bilberrywell/internal/settings"
	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
)

// Guards against requests that are cut off without an answer when the drain deadline passes: as many as the service
// has slots, one of them not idempotent, and some that wait in the queue.
func TestDrainDeadlineAnswersWhatIsOpen(t *testing.T) {
	const slots, queued = 64, 6
	running := make(chan struct{}, slots)
	f := fleettest.Start(t, fleettest.Options{
		Instances: 1,
		AdjustSettings: func(s *settings.Settings) {
			s.BalancerGrace, s.DrainDeadline = 50*time.Millisecond, 300*time.Millisecond
		},
		ServiceHandler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			running <- struct{}{}
			<-r.Context().Done()
		}),
	})
	client := f.Client(f.Nodes[0])
	results := make(chan callersim.CallResult, slots+queued)
	call := func(method, key string) {
		go func() {
			results <- client.Call(context.Background(), method, "/v1/services/orders/orders", key, []byte("{}"))
		}()
	}
	call(http.MethodPost, "key")
	<-running
	for range slots + queued - 1 {
		call(http.MethodGet, "")
	}
	for range slots - 1 {
		<-running
	}
	f.StopNode(f.Nodes[0])
	kinds := map[callersim.Kind]int{}
	for range slots + queued {
		kinds[(<-results).Kind]++
	}
	require.Equal(t, map[callersim.Kind]int{callersim.Unknown: slots, callersim.NotRun: queued}, kinds)
}
