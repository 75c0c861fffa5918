package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// maxKind bounds the kinds that have counters of their own.
const maxKind = 32

// direction is the direction of traffic in metric labels.
type direction uint8

const (
	sent direction = iota
	received
	directions
)

// counters are the metrics of a Manager.
type counters struct {
	set      *metrics.Set
	bytes    [directions][maxKind]*metrics.Counter
	messages [directions][maxKind]*metrics.Counter
	// overhead counts the bytes of WebSocket frame headers.
	overhead   [directions]*metrics.Counter
	frames     [directions]*metrics.Counter
	drops      [classes]*metrics.Counter
	reconnects *metrics.Counter
	dialErrors *metrics.Counter
	silent     *metrics.Counter
	replaced   *metrics.Counter
	refused    *metrics.Counter
	badSecret  *metrics.Counter
	malformed  *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{set: set}
	for d, name := range [directions]string{"sent", "received"} {
		for kind := range wire.Kind(maxKind) {
			labels := fmt.Sprintf("{direction=%q,kind=%q}", name, kind)
			c.bytes[d][kind] = set.GetOrCreateCounter("bilberry_control_bytes_total" + labels)
			c.messages[d][kind] = set.GetOrCreateCounter("bilberry_control_messages_total" + labels)
		}
		c.overhead[d] = set.GetOrCreateCounter(fmt.Sprintf("bilberry_control_bytes_total{direction=%q,kind=\"frame\"}", name))
		c.frames[d] = set.GetOrCreateCounter(fmt.Sprintf("bilberry_control_frames_total{direction=%q}", name))
	}
	for class := range classes {
		c.drops[class] = set.GetOrCreateCounter(fmt.Sprintf("bilberry_control_drops_total{class=%q}", class))
	}
	c.reconnects = set.GetOrCreateCounter("bilberry_peer_reconnects_total")
	c.dialErrors = set.GetOrCreateCounter("bilberry_peer_dial_errors_total")
	c.silent = set.GetOrCreateCounter(`bilberry_peer_closed_total{reason="silent"}`)
	c.replaced = set.GetOrCreateCounter(`bilberry_peer_closed_total{reason="replaced"}`)
	c.refused = set.GetOrCreateCounter(`bilberry_peer_refused_total{reason="hello"}`)
	c.badSecret = set.GetOrCreateCounter(`bilberry_peer_refused_total{reason="secret"}`)
	c.malformed = set.GetOrCreateCounter(`bilberry_peer_closed_total{reason="malformed"}`)
	return c
}

// message counts one message.
func (c *counters) message(d direction, kind wire.Kind, bytes int) {
	if kind >= maxKind {
		kind = 0
	}
	c.bytes[d][kind].Add(bytes)
	c.messages[d][kind].Inc()
}

// frame counts the header of one frame.
func (c *counters) frame(d direction, overhead int) {
	c.frames[d].Inc()
	c.overhead[d].Add(overhead)
}
