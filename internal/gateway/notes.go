package gateway

import (
	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/router"
)

// note counts and logs a decision.
func (g *Gateway) note(n router.Decision) {
	g.metrics.decision(n.Kind)
	fields := n.Fields
	if n.Label != "" {
		fields = append([]any{"request", n.Label}, fields...)
	}
	klog.InfoS(n.Kind, fields...)
}
