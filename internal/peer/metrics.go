package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// kindCount is the number of kinds that have counters of their own. Higher kinds are counted as
// kind 0.
const kindCount = 32

// direction is the direction of traffic, a metric label.
type direction uint8

const (
	sent direction = iota
	received
	directionCount
)

// counters holds the metrics of a Manager.
type counters struct {
	set      *metrics.Set
	bytes    [directionCount][kindCount]*metrics.Counter
	messages [directionCount][kindCount]*metrics.Counter
	// overhead counts the bytes of WebSocket frame headers.
	overhead        [directionCount]*metrics.Counter
	frames          [directionCount]*metrics.Counter
	drops           [classCount]*metrics.Counter
	reconnects      *metrics.Counter
	dialErrors      *metrics.Counter
	closedSilent    *metrics.Counter
	closedReplaced  *metrics.Counter
	refusedHello    *metrics.Counter
	refusedSecret   *metrics.Counter
	closedMalformed *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{set: set}
	for d, name := range [directionCount]string{"sent", "received"} {
		for kind := range wire.Kind(kindCount) {
			labels := fmt.Sprintf("{direction=%q,kind=%q}", name, kind)
			c.bytes[d][kind] = set.GetOrCreateCounter("bilberry_control_bytes_total" + labels)
			c.messages[d][kind] = set.GetOrCreateCounter("bilberry_control_messages_total" + labels)
		}
		c.overhead[d] = set.GetOrCreateCounter(fmt.Sprintf("bilberry_control_bytes_total{direction=%q,kind=\"frame\"}", name))
		c.frames[d] = set.GetOrCreateCounter(fmt.Sprintf("bilberry_control_frames_total{direction=%q}", name))
	}
	for class := range classCount {
		c.drops[class] = set.GetOrCreateCounter(fmt.Sprintf("bilberry_control_drops_total{class=%q}", class))
	}
	c.reconnects = set.GetOrCreateCounter("bilberry_peer_reconnects_total")
	c.dialErrors = set.GetOrCreateCounter("bilberry_peer_dial_errors_total")
	c.closedSilent = set.GetOrCreateCounter(`bilberry_peer_closed_total{reason="silent"}`)
	c.closedReplaced = set.GetOrCreateCounter(`bilberry_peer_closed_total{reason="replaced"}`)
	c.refusedHello = set.GetOrCreateCounter(`bilberry_peer_refused_total{reason="hello"}`)
	c.refusedSecret = set.GetOrCreateCounter(`bilberry_peer_refused_total{reason="secret"}`)
	c.closedMalformed = set.GetOrCreateCounter(`bilberry_peer_closed_total{reason="malformed"}`)
	return c
}

// countMessage counts one message and its bytes.
func (c *counters) countMessage(d direction, kind wire.Kind, bytes int) {
	if kind >= kindCount {
		kind = 0
	}
	c.bytes[d][kind].Add(bytes)
	c.messages[d][kind].Inc()
}

// countFrame counts one frame and the bytes of its header.
func (c *counters) countFrame(d direction, overhead int) {
	c.frames[d].Inc()
	c.overhead[d].Add(overhead)
}
