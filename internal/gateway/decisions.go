package gateway

import (
	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/router"
)

// recordDecision counts and logs a decision.
func (g *Gateway) recordDecision(n router.Decision) {
	g.metrics.countDecision(n.Kind)
	fields := n.Fields
	if n.Label != "" {
		fields = append([]any{"request", n.Label}, fields...)
	}
	klog.InfoS(n.Kind, fields...)
}
