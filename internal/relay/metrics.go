package relay

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bilberrywell/bilberrywell/egress"
)

// counters holds the metrics of a Dialer and of the Server that uses it.
type counters struct {
	set     *metrics.Set
	relayed *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	return &counters{set: set, relayed: set.GetOrCreateCounter(`bilberry_relay_requests_total{result="accepted"}`)}
}

// countDial counts a step of a dial.
func (c *counters) countDial(s egress.Step, r egress.Result) {
	path, result := "peer", "connected"
	if s.Direct() {
		path = "direct"
	}
	switch r {
	case egress.Unreachable:
		result = "unreachable"
	case egress.NoHelp:
		result = "no_help"
	case egress.Declined:
		result = "declined"
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("bilberry_engine_dials_total{path=%q,result=%q}", path, result)).Inc()
}

// countRefusal counts a refused request of a peer.
func (c *counters) countRefusal(status int) {
	result := "refused"
	switch status {
	case http.StatusBadGateway:
		result = "engine_unreachable"
	case http.StatusUnauthorized, http.StatusForbidden:
		result = "not_allowed"
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("bilberry_relay_requests_total{result=%q}", result)).Inc()
}
