package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"

	"github.com/bilberrywell/bilberrywell/internal/enginesapi"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/router"
	"github.com/bilberrywell/bilberrywell/internal/whereapi"
	"github.com/bilberrywell/bilberrywell/replica"
)

// gatewayMetrics holds the counters and histograms of a gateway. docs/OPERATIONS.md lists them.
type gatewayMetrics struct {
	set *metrics.Set
	// version is that of the configuration in force, inForceSince when it came into force, in Unix seconds.
	version, inForceSince atomic.Int64
}

func newMetrics() *gatewayMetrics {
	return &gatewayMetrics{set: metrics.NewSet()}
}

// registerGauges registers the gauges whose values are read from the gateway at each scrape.
func (m *gatewayMetrics) registerGauges(g *Gateway) {
	m.set.NewGauge("bilberry_config_version", func() float64 { return float64(m.version.Load()) })
	m.set.NewGauge("bilberry_config_age_seconds", func() float64 {
		if m.version.Load() == 0 {
			return 0
		}
		return float64(time.Now().Unix() - m.inForceSince.Load())
	})
	m.set.NewGauge("bilberry_ready", func() float64 { return boolGauge(g.ready.Load()) })
	m.set.NewGauge("bilberry_body_bytes", func() float64 { return float64(g.bodies.held.Load()) })
	m.set.NewGauge("bilberry_calls_open", func() float64 { return float64(g.calls.count()) })
	m.set.NewGauge("bilberry_log_lines_dropped", func() float64 {
		if g.options.LogDropped == nil {
			return 0
		}
		return float64(g.options.LogDropped())
	})
}

func (m *gatewayMetrics) configInForce(version uint64) {
	m.version.Store(int64(version))
	m.inForceSince.Store(time.Now().Unix())
}

func (m *gatewayMetrics) countDecision(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bilberry_decisions_total{kind=%q}", kind)).Inc()
}

func (m *gatewayMetrics) callDone(e router.CallDone) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bilberry_calls_total{kind=%q,result=%q}", e.Kind, e.Result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("bilberry_call_seconds{kind=%q}", e.Kind)).Update(e.Took.Seconds())
}

func (m *gatewayMetrics) attemptDone(e router.AttemptDone) {
	name := fmt.Sprintf("bilberry_attempts_total{kind=%q,outcome=%q,reason=%q,repeat=\"%t\"}", e.Kind, e.Outcome, e.Reason, e.Try > 1)
	m.set.GetOrCreateCounter(name).Inc()
	if e.Try == 1 {
		m.set.GetOrCreateHistogram(fmt.Sprintf("bilberry_call_wait_seconds{kind=%q}", e.Kind)).Update(e.Waited.Seconds())
	}
	if e.CacheFetch {
		m.set.GetOrCreateCounter(fmt.Sprintf("bilberry_cache_fetches_total{outcome=%q}", e.Outcome)).Inc()
	}
	if e.FirstByte > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf("bilberry_first_byte_seconds{kind=%q}", e.Kind)).Update(e.FirstByte.Seconds())
	}
}

func (m *gatewayMetrics) firstEventDone(e router.FirstEventDone) {
	prompt := "short"
	if e.LongPrompt {
		prompt = "long"
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf("bilberry_first_event_seconds{prompt=%q}", prompt)).Update(e.Waited.Seconds())
}

func (m *gatewayMetrics) forecastDone(e router.ForecastDone) {
	side := "late"
	if e.Late < 0 {
		side = "early"
	}
	name := fmt.Sprintf("bilberry_forecast_error_seconds{kind=%q,side=%q}", e.Of, side)
	m.set.GetOrCreateHistogram(name).Update(e.Late.Abs().Seconds())
}

func (m *gatewayMetrics) callWaited(e router.CallWaited) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("bilberry_queue_wait_seconds{urgency=\"%d\"}", e.Urgency)).Update(e.Waited.Seconds())
}

func (m *gatewayMetrics) storeCall(call string, err error) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bilberry_store_calls_total{call=%q,result=%q}", call, storeResult(err))).Inc()
}

func storeResult(err error) string {
	for _, known := range []struct {
		err  error
		name string
	}{
		{nil, "ok"}, {platform.ErrUnavailable, "unavailable"}, {platform.ErrUnknown, "unknown"},
		{platform.ErrConflict, "conflict"}, {platform.ErrNotFound, "not_found"}, {platform.ErrCompacted, "compacted"},
	} {
		if errors.Is(err, known.err) {
			return known.name
		}
	}
	return "error"
}

// routerGauges returns gauges of the router's state. They are created for each scrape, because the set
// of services changes.
func routerGauges(s router.Stats) *metrics.Set {
	set := metrics.NewSet()
	gauge := func(value float64, name string, args ...any) {
		set.GetOrCreateGauge(fmt.Sprintf(name, args...), nil).Set(value)
	}
	gauge(float64(s.Peers), "bilberry_peers")
	gauge(ageSeconds(s.PeerAge), `bilberry_source_age_seconds{source="peers"}`)
	gauge(ageSeconds(s.StoreAge), `bilberry_source_age_seconds{source="store"}`)
	gauge(ageSeconds(s.FactsAge), `bilberry_source_age_seconds{source="any"}`)
	gauge(boolGauge(s.Watching), "bilberry_watching_store")
	gauge(float64(s.Suspended), "bilberry_engines_suspended")
	gauge(float64(s.EvacuatedDataCentres), "bilberry_data_centres_evacuated")
	gauge(float64(s.DelayedRetries), "bilberry_retries_delayed")
	for _, w := range s.Waiting {
		gauge(float64(w.Requests), `bilberry_waiting{service=%q,urgency="%d"}`, w.Service, w.Urgency)
	}
	for _, v := range s.Services {
		gauge(float64(v.Engines-v.Draining-v.Evacuated-v.Paused), `bilberry_engines{service=%q,state="usable"}`, v.Service)
		gauge(float64(v.Draining), `bilberry_engines{service=%q,state="draining"}`, v.Service)
		gauge(float64(v.Evacuated), `bilberry_engines{service=%q,state="evacuated"}`, v.Service)
		gauge(float64(v.Paused), `bilberry_engines{service=%q,state="paused"}`, v.Service)
		gauge(float64(v.Limited), `bilberry_engines_limited{service=%q}`, v.Service)
		gauge(float64(v.Warming), `bilberry_engines_warming{service=%q}`, v.Service)
		gauge(float64(v.Quiet), `bilberry_engines_quiet{service=%q}`, v.Service)
		gauge(float64(v.OwnRequests), `bilberry_running{service=%q,of="own"}`, v.Service)
		gauge(float64(v.AllRequests), `bilberry_running{service=%q,of="fleet"}`, v.Service)
		gauge(float64(v.OwnUnread), `bilberry_unread_tokens{service=%q,of="own"}`, v.Service)
		gauge(float64(v.AllUnread), `bilberry_unread_tokens{service=%q,of="fleet"}`, v.Service)
		gauge(v.MeanLoad, `bilberry_engine_load{service=%q,of="mean"}`, v.Service)
		gauge(float64(v.MaxLoad), `bilberry_engine_load{service=%q,of="max"}`, v.Service)
		gauge(v.BudgetLeft, `bilberry_retry_budget_left{service=%q}`, v.Service)
		gauge(boolGauge(v.BudgetShort), `bilberry_retry_budget_short{service=%q}`, v.Service)
		gauge(boolGauge(v.FailingAlike), `bilberry_service_failing{service=%q}`, v.Service)
	}
	return set
}

// ageSeconds returns an age in seconds, or -1 if it is negative, which means unknown.
func ageSeconds(age time.Duration) float64 {
	if age < 0 {
		return -1
	}
	return age.Seconds()
}

func boolGauge(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// handler serves all metrics in Prometheus text format, the state of every engine, and where a request would go.
func (m *gatewayMetrics) handler(stats func() router.Stats, engines func() enginesapi.Snapshot, where func(whereapi.Request) whereapi.Answer) http.Handler {
	mux := httprouter.New()
	mux.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		routerGauges(stats()).WritePrometheus(w)
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.GET(enginesapi.Path, enginesHandler(engines))
	mux.POST(whereapi.Path, whereHandler(where))
	return mux
}

// meteredStore counts the calls to the store by kind and result.
type meteredStore struct {
	platform.Keyspace
	metrics *gatewayMetrics
}

// Get implements platform.Keyspace.
func (s meteredStore) Get(ctx context.Context, key string) (replica.Fact, error) {
	fact, err := s.Keyspace.Get(ctx, key)
	s.metrics.storeCall("get", err)
	return fact, err
}

// ListBefore implements platform.Keyspace.
func (s meteredStore) ListBefore(ctx context.Context, prefix, end string) (platform.Listing, error) {
	listing, err := s.Keyspace.ListBefore(ctx, prefix, end)
	s.metrics.storeCall("list", err)
	return listing, err
}

// List implements platform.Keyspace.
func (s meteredStore) List(ctx context.Context, prefix string) (platform.Listing, error) {
	listing, err := s.Keyspace.List(ctx, prefix)
	s.metrics.storeCall("list", err)
	return listing, err
}

// Changes implements platform.Keyspace.
func (s meteredStore) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]replica.Fact, uint64, error) {
	facts, revision, err := s.Keyspace.Changes(ctx, prefix, after, wait)
	s.metrics.storeCall("changes", err)
	return facts, revision, err
}

// Commit implements platform.Keyspace.
func (s meteredStore) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	revision, err := s.Keyspace.Commit(ctx, txn)
	s.metrics.storeCall("commit", err)
	return revision, err
}

// KeepAlive implements platform.Keyspace.
func (s meteredStore) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	err := s.Keyspace.KeepAlive(ctx, lease)
	s.metrics.storeCall("keep", err)
	return err
}
