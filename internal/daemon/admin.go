package daemon

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/julienschmidt/httprouter"

	"github.com/bilberrywell/bilberrywell/internal/adminapi"
	"github.com/bilberrywell/bilberrywell/internal/core"
)

// adminHandler returns the handler of the admin listener. Metrics, health and readiness need no
// secret, because metric scrapers and the platform's load balancer have none.
func (d *Daemon) adminHandler() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, "/healthz", d.handleHealth)
	router.HandlerFunc(http.MethodGet, "/readyz", d.handleReady)
	router.HandlerFunc(http.MethodGet, "/metrics", d.handleMetrics)
	router.HandlerFunc(http.MethodGet, adminapi.PathStatus, d.requireSecret(d.handleStatus))
	router.HandlerFunc(http.MethodGet, adminapi.PathTimeline, d.requireSecret(d.handleTimeline))
	router.HandlerFunc(http.MethodPost, adminapi.PathConfig, d.requireSecret(d.handleConfig))
	router.HandlerFunc(http.MethodPost, adminapi.PathDrain, d.requireSecret(d.handleDrain))
	return router
}

func (d *Daemon) handleHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (d *Daemon) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !d.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (d *Daemon) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	d.metrics.write(w)
}

// requireSecret wraps a handler so that requests without the fleet's secret are refused with 401.
func (d *Daemon) requireSecret(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(secret), d.settings.FleetSecret) != 1 {
			d.metrics.count(core.CounterUnauthorized, 1)
			writeError(w, notRunError(http.StatusUnauthorized, "unauthorized", "the request needs the fleet's secret"))
			return
		}
		next(w, r)
	}
}

func (d *Daemon) handleStatus(w http.ResponseWriter, _ *http.Request) {
	answer := make(chan core.Status, 1)
	d.loop.inspect(func(c *core.Core) { answer <- c.Status() })
	var status core.Status
	select {
	case status = <-answer:
	case <-d.ctx.Done():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, d.statusBody(status))
}

// statusBody returns the body of the status response: the reducer's status with the instance's
// settings and its rate of control bytes.
func (d *Daemon) statusBody(s core.Status) adminapi.Status {
	body := adminapi.Status{
		Instance:              d.settings.Instance,
		DataCentre:            d.settings.DataCentre,
		Region:                d.settings.Region,
		Incarnation:           d.incarnation,
		Version:               s.Version,
		PublishID:             s.PublishID,
		Ready:                 s.Ready,
		Draining:              s.Draining,
		ControlBytesPerSecond: d.controlRate.perSecond(),
	}
	for _, p := range s.Peers {
		body.Peers = append(body.Peers, adminapi.Peer{
			Instance: p.ID, DataCentre: p.DataCentre, Region: p.Region,
			Linked: p.Linked, Live: p.Live, Draining: p.Draining, Version: p.Version,
		})
	}
	for _, e := range s.Engines {
		body.Engines = append(body.Engines, adminapi.Engine{
			ID: e.ID, Home: e.Home, InFlight: e.InFlight, Bound: e.Bound, Queued: e.Queued, Draining: e.Draining,
		})
	}
	return body
}

func (d *Daemon) handleTimeline(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		writeError(w, notRunError(http.StatusBadRequest, "bad_sequence", "the parameter after is not a sequence number"))
		return
	}
	writeJSON(w, http.StatusOK, d.events.after(after))
}

// handleConfig receives a published bundle, passes it to the reducer and answers with the result.
func (d *Daemon) handleConfig(w http.ResponseWriter, r *http.Request) {
	var request adminapi.ConfigRequest
	body := http.MaxBytesReader(w, r.Body, adminapi.MaxConfigBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		writeError(w, notRunError(http.StatusBadRequest, "bad_json", err.Error()))
		return
	}
	answer := make(chan adminapi.ConfigResponse, 1)
	d.loop.post(core.ConfigPublished{Manifest: request.Manifest, Blobs: request.Files})
	d.loop.inspect(func(c *core.Core) {
		s := c.Status()
		answer <- adminapi.ConfigResponse{Outcome: s.ConfigOutcome, Version: s.Version, Error: s.ConfigError}
	})
	select {
	case a := <-answer:
		writeJSON(w, http.StatusOK, a)
	case <-d.ctx.Done():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	}
}

func (d *Daemon) handleDrain(w http.ResponseWriter, _ *http.Request) {
	d.loop.post(core.DrainRequested{})
	w.WriteHeader(http.StatusAccepted)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails when the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
