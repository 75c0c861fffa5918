package enginesim

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

// IncarnationHeader carries the engine's incarnation in the response with cache events.
const IncarnationHeader = "X-Incarnation"

// Order declares the desired state of an engine. Empty fields leave the current value.
type Order struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// OrderRecord is a received order and whether the engine accepted it.
type OrderRecord struct {
	Order
	Accepted bool `json:"accepted"`
}

// Blob is the exported cache of one chat. Clients treat it as opaque bytes.
type Blob struct {
	Chat  string `json:"chat"`
	Links []link `json:"links"`
}

// chatName is the body of an export request. The chat's key may be a JSON string or number.
type chatName struct {
	Chat json.Number `json:"chat"`
}

// Handler returns the HTTP handler for the engine's API and for the control calls of tests.
func (e *Engine) Handler() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, "/v1/chat/completions", respectFreeze(e.serveChat))
	router.HandlerFunc(http.MethodGet, "/cache/events", respectFreeze(e.serveEvents))
	router.HandlerFunc(http.MethodPost, "/cache/export", respectFreeze(e.serveExport))
	router.HandlerFunc(http.MethodPost, "/cache/import", respectFreeze(e.serveImport))
	router.HandlerFunc(http.MethodGet, "/load", respectFreeze(e.serveLoad))
	router.HandlerFunc(http.MethodGet, "/health", respectFreeze(e.serveHealth))
	router.HandlerFunc(http.MethodPost, "/admin/orders", respectFreeze(e.serveOrder))
	router.HandlerFunc(http.MethodPost, "/control/fault", e.serveFault)
	router.HandlerFunc(http.MethodGet, "/control/log", e.serveLog)
	router.HandlerFunc(http.MethodGet, "/control/orders", e.serveOrders)
	return router
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	if !e.checkNotCrashed(w) {
		return
	}
	events := e.Events(r.Context(), simutil.QueryUint(r, "after"), simutil.QueryMillis(r, "wait"))
	hangIfFrozen(r)
	if events == nil {
		events = []Event{}
	}
	w.Header().Set(IncarnationHeader, e.incarnationHeaderValue())
	simutil.WriteJSON(w, http.StatusOK, events)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var export chatName
	if !e.checkNotCrashed(w) || !simutil.ReadJSON(w, r, &export) {
		return
	}
	e.mu.Lock()
	blob := Blob{export.Chat.String(), e.cache.cachedChain(export.Chat.String())}
	e.mu.Unlock()
	if len(blob.Links) == 0 {
		simutil.WriteError(w, http.StatusNotFound, "chat is not cached")
		return
	}
	simutil.WriteJSON(w, http.StatusOK, blob)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var blob Blob
	if !e.checkNotCrashed(w) || !simutil.ReadJSON(w, r, &blob) {
		return
	}
	e.mu.Lock()
	e.cache.store(blob.Links, blob.Chat)
	e.mu.Unlock()
	simutil.WriteJSON(w, http.StatusOK, map[string]string{"chat": blob.Chat})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	if e.checkNotCrashed(w) {
		simutil.WriteJSON(w, http.StatusOK, e.Load())
	}
}

func (e *Engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if e.checkNotCrashed(w) {
		simutil.WriteJSON(w, http.StatusOK, map[string]string{"status": "ok"})
	}
}

// checkNotCrashed returns true unless the engine is restarting after a crash. In that case it
// responds with 503 and returns false, or breaks the connection if restartBreaks is set.
func (e *Engine) checkNotCrashed(w http.ResponseWriter) bool {
	e.mu.Lock()
	crashed, breaks := e.crashed, e.faults.restartBreaks
	e.mu.Unlock()
	if crashed && breaks {
		panic(http.ErrAbortHandler)
	}
	if crashed {
		refuse(w, http.StatusServiceUnavailable, "restarting")
	}
	return !crashed
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !e.checkNotCrashed(w) || !simutil.ReadJSON(w, r, &order) {
		return
	}
	if !e.Order(order) {
		simutil.WriteError(w, http.StatusConflict, "old fencing number")
		return
	}
	simutil.WriteJSON(w, http.StatusOK, order)
}

// Order applies an order and returns true. It refuses the order and returns false if the engine
// checks fencing numbers and has seen a higher number. The highest number seen survives a crash.
func (e *Engine) Order(order Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	accepted := !e.options.CheckFence || order.Fence >= e.highestFence
	e.orders = append(e.orders, OrderRecord{order, accepted})
	if !accepted {
		return false
	}
	e.highestFence = max(e.highestFence, order.Fence)
	e.applyOrder(order)
	return true
}

// applyOrder changes the engine's state. A change of the model or version takes OrderTime and then
// empties the cache. The caller holds the lock.
func (e *Engine) applyOrder(order Order) {
	o := &e.options
	if order.Adapters != nil {
		o.Adapters = slices.Clone(order.Adapters)
	}
	o.Role = valueOrCurrent(order.Role, o.Role)
	model, version := valueOrCurrent(order.Model, o.Model), valueOrCurrent(order.Version, o.Version)
	if model == o.Model && version == o.Version {
		e.recordLoad()
		return
	}
	if o.OrderTime <= 0 {
		e.finishLoading(model, version)
		return
	}
	e.loading = true
	time.AfterFunc(o.OrderTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.finishLoading(model, version)
	})
}

// finishLoading puts a loaded model in use. The caller holds the lock.
func (e *Engine) finishLoading(model, version string) {
	e.loading = false
	e.options.Model, e.options.Version = model, version
	e.cache.clear()
	e.recordLoad()
}

func valueOrCurrent(value, current string) string {
	if value != "" {
		return value
	}
	return current
}

// Orders returns the received orders in the order of arrival.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *Engine) incarnationHeaderValue() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strconv.FormatUint(e.incarnationNumber, 10)
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if simutil.ReadJSON(w, r, &fault) {
		e.SetFault(fault)
	}
}

func (e *Engine) serveLog(w http.ResponseWriter, _ *http.Request) {
	simutil.WriteJSON(w, http.StatusOK, e.Log())
}

func (e *Engine) serveOrders(w http.ResponseWriter, _ *http.Request) {
	simutil.WriteJSON(w, http.StatusOK, append([]OrderRecord{}, e.Orders()...))
}
