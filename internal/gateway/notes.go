package gateway

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"
	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/router"
)

// gatewayMetrics holds the counters of a gateway.
type gatewayMetrics struct {
	set *metrics.Set
}

func newMetrics() *gatewayMetrics {
	return &gatewayMetrics{set: metrics.NewSet()}
}

// note counts and logs a decision.
func (g *Gateway) note(n router.Note) {
	g.metrics.set.GetOrCreateCounter(fmt.Sprintf("bilberry_decisions_total{kind=%q}", n.Kind)).Inc()
	fields := n.Fields
	if n.Label != "" {
		fields = append([]any{"request", n.Label}, fields...)
	}
	klog.InfoS(n.Kind, fields...)
}

func (m *gatewayMetrics) handler() http.Handler {
	mux := httprouter.New()
	mux.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}
