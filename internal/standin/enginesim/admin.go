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

// IncarnationHeader carries the engine's incarnation in the answer to an event call.
const IncarnationHeader = "X-Incarnation"

// Order declares the desired state of an engine. Empty fields keep what the engine has.
type Order struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// OrderRecord is an order that arrived.
type OrderRecord struct {
	Order
	Accepted bool `json:"accepted"`
}

// Blob is the exported cache of one chat. Clients treat it as opaque bytes.
type Blob struct {
	Chat  string `json:"chat"`
	Links []link `json:"links"`
}

// chatName is the body of an export call. The chat's key may be a string or a number.
type chatName struct {
	Chat json.Number `json:"chat"`
}

// Handler serves the engine and its control calls over HTTP.
func (e *Engine) Handler() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, "/v1/chat/completions", silenced(e.serveChat))
	router.HandlerFunc(http.MethodGet, "/cache/events", silenced(e.serveEvents))
	router.HandlerFunc(http.MethodPost, "/cache/export", silenced(e.serveExport))
	router.HandlerFunc(http.MethodPost, "/cache/import", silenced(e.serveImport))
	router.HandlerFunc(http.MethodGet, "/load", silenced(e.serveLoad))
	router.HandlerFunc(http.MethodGet, "/health", silenced(e.serveHealth))
	router.HandlerFunc(http.MethodPost, "/admin/orders", silenced(e.serveOrder))
	router.HandlerFunc(http.MethodPost, "/control/fault", e.serveFault)
	router.HandlerFunc(http.MethodGet, "/control/log", e.serveLog)
	router.HandlerFunc(http.MethodGet, "/control/orders", e.serveOrders)
	return router
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	if !e.up(w) {
		return
	}
	events := e.Events(r.Context(), simutil.Uint(r, "after"), simutil.Millis(r, "wait"))
	hang(r)
	if events == nil {
		events = []Event{}
	}
	w.Header().Set(IncarnationHeader, e.incarnation())
	simutil.WriteJSON(w, http.StatusOK, events)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var name chatName
	if !e.up(w) || !simutil.ReadJSON(w, r, &name) {
		return
	}
	e.mu.Lock()
	blob := Blob{name.Chat.String(), e.cache.chain(name.Chat.String())}
	e.mu.Unlock()
	if len(blob.Links) == 0 {
		simutil.WriteError(w, http.StatusNotFound, "chat is not cached")
		return
	}
	simutil.WriteJSON(w, http.StatusOK, blob)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var blob Blob
	if !e.up(w) || !simutil.ReadJSON(w, r, &blob) {
		return
	}
	e.mu.Lock()
	e.cache.store(blob.Links, blob.Chat)
	e.mu.Unlock()
	simutil.WriteJSON(w, http.StatusOK, map[string]string{"chat": blob.Chat})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	if e.up(w) {
		simutil.WriteJSON(w, http.StatusOK, e.Load())
	}
}

func (e *Engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if e.up(w) {
		simutil.WriteJSON(w, http.StatusOK, map[string]string{"status": "ok"})
	}
}

// up answers with 503 and returns false while the engine restarts.
func (e *Engine) up(w http.ResponseWriter) bool {
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
	if !e.up(w) || !simutil.ReadJSON(w, r, &order) {
		return
	}
	if !e.Order(order) {
		simutil.WriteError(w, http.StatusConflict, "old fencing number")
		return
	}
	simutil.WriteJSON(w, http.StatusOK, order)
}

// Order takes an order, or refuses it when the engine checks fencing numbers and the
// number is lower than one it has seen. Numbers outlast a crash.
func (e *Engine) Order(order Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	accepted := !e.options.CheckFence || order.Fence >= e.fence
	e.orders = append(e.orders, OrderRecord{order, accepted})
	if !accepted {
		return false
	}
	e.fence = max(e.fence, order.Fence)
	e.apply(order)
	return true
}

// apply changes the engine's state. Another model or version empties the cache and takes
// the order time. The caller holds the lock.
func (e *Engine) apply(order Order) {
	o := &e.options
	if order.Adapters != nil {
		o.Adapters = slices.Clone(order.Adapters)
	}
	o.Role = either(order.Role, o.Role)
	model, version := either(order.Model, o.Model), either(order.Version, o.Version)
	if model == o.Model && version == o.Version {
		e.noteLoad()
		return
	}
	if o.OrderTime <= 0 {
		e.loaded(model, version)
		return
	}
	e.loading = true
	time.AfterFunc(o.OrderTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loaded(model, version)
	})
}

// loaded ends the loading of a model. The caller holds the lock.
func (e *Engine) loaded(model, version string) {
	e.loading = false
	e.options.Model, e.options.Version = model, version
	e.cache.clear()
	e.noteLoad()
}

func either(wanted, current string) string {
	if wanted != "" {
		return wanted
	}
	return current
}

// Orders returns the orders that arrived, in order.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *Engine) incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strconv.FormatUint(e.number, 10)
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
