package gateway

import (
	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/router"
)

// recordDecision counts and logs a decision.
func (g *Gateway) recordDecision(n router.Decision) {
	g.metrics.countDecision(n.Kind)
	fields := n.Fields
	if n.RequestID != "" {
		fields = append([]any{"request", n.RequestID}, fields...)
	}
	klog.InfoS(n.Kind, fields...)
}
