package daemon

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bilberrywell/bilberrywell/internal/core"
)

// daemonMetrics holds the metrics of a daemon.
type daemonMetrics struct {
	set *metrics.Set
	// counters maps a core.Counter to its *metrics.Counter.
	counters sync.Map
}

func newDaemonMetrics() *daemonMetrics {
	return &daemonMetrics{set: metrics.NewSet()}
}

// count adds n to the metric of a counter, which it creates at the first use.
func (m *daemonMetrics) count(counter core.Counter, n uint64) {
	c, ok := m.counters.Load(counter)
	if !ok {
		c, _ = m.counters.LoadOrStore(counter, m.set.GetOrCreateCounter("bilberry_"+string(counter)+"_total"))
	}
	c.(*metrics.Counter).AddInt64(int64(n))
}

// registerAll creates every counter with the value 0, so that a rate over it is defined from the
// start.
func (m *daemonMetrics) registerAll() {
	for _, counter := range core.Counters() {
		m.count(counter, 0)
	}
}

// write writes all metrics in Prometheus text format.
func (m *daemonMetrics) write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
