package gateway

import (
	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/router"
)

// recordDecision counts and logs a decision.
func (g *Gateway) recordDecision(d router.Decision) {
	g.metrics.countDecision(d.Kind)
	fields := d.Fields
	if d.RequestID != "" {
		fields = append([]any{"request", d.RequestID}, fields...)
	}
	klog.InfoS(d.Kind, fields...)
}
