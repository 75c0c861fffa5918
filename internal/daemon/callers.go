package daemon

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/julienschmidt/httprouter"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/httputil"
)

const (
	conversationHeader   = "X-Conversation-Id"
	callerPriorityHeader = "X-Bilberry-Priority"
	idempotencyHeader    = "Idempotency-Key"
	servicesPrefix       = "/v1/services/"
	// maxIdempotencyKeyBytes bounds an idempotency key.
	maxIdempotencyKeyBytes = 255
)

// callerHandler returns the handler of the listener for callers.
func (d *Daemon) callerHandler() http.Handler {
	router := httprouter.New()
	router.HandleMethodNotAllowed = true
	router.POST(chatPath, d.handleChat)
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	} {
		router.Handle(method, servicesPrefix+":service/*path", d.handlePlain)
	}
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, notRunError(http.StatusNotFound, "unknown_path", "no such path"))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		httputil.AnnounceIdle(w.Header(), r, d.settings.IdleTimeout)
		complete := httputil.ResetUnlessComplete(r)
		router.ServeHTTP(w, r)
		complete()
	})
}

// chatRequest is the part of a chat request that the router reads.
type chatRequest struct {
	Model        string            `json:"model"`
	Messages     []json.RawMessage `json:"messages"`
	Stream       bool              `json:"stream"`
	Conversation string            `json:"conversation_id"`
	Priority     string            `json:"priority"`
}

func (d *Daemon) handleChat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	snapshot, customer, ok := d.authenticate(w, r)
	if !ok {
		return
	}
	body, ok := d.readBody(w, r)
	if !ok {
		return
	}
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		writeError(w, notRunError(http.StatusBadRequest, "bad_json", "the body is not a chat request: "+err.Error()))
		return
	}
	if len(chat.Messages) == 0 {
		writeError(w, notRunError(http.StatusBadRequest, "no_messages", "the field messages is empty"))
		return
	}
	service := chatService(snapshot, customer, chat.Model)
	if service == nil {
		writeError(w, notRunError(http.StatusNotFound, core.CodeUnknownService, "unknown model "+strconv.Quote(chat.Model)))
		return
	}
	chatKey := fleet.ChatKeyOf(customer.ID, conversationID(r, chat))
	call := core.Call{
		Customer:    customer.ID,
		Service:     service.ID,
		Chat:        chatKey,
		Fingerprint: chatFingerprint(chat),
		Priority:    firstNonEmpty(r.Header.Get(callerPriorityHeader), chat.Priority),
	}
	d.serveCall(r, call, &chatResponder{
		daemon:         d,
		w:              w,
		controller:     http.NewResponseController(w),
		body:           body,
		stream:         chat.Stream,
		chatKey:        strconv.FormatUint(uint64(chatKey), 10),
		serviceTimeout: service.Timeout,
	})
}

func (d *Daemon) handlePlain(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	snapshot, customer, ok := d.authenticate(w, r)
	if !ok {
		return
	}
	name := fleet.ServiceID(params.ByName("service"))
	service := snapshot.Services[name]
	if service == nil || service.Kind != config.KindPlain || !customer.Allows(name) {
		writeError(w, notRunError(http.StatusNotFound, core.CodeUnknownService, "unknown service "+strconv.Quote(string(name))))
		return
	}
	path, ok := servicePath(r, params.ByName("path"))
	if !ok {
		writeError(w, notRunError(http.StatusNotFound, "unknown_path", "no such path"))
		return
	}
	key := r.Header.Get(idempotencyHeader)
	nonIdempotent := service.IsNonIdempotent(r.Method, params.ByName("path"))
	if nonIdempotent && (key == "" || len(key) > maxIdempotencyKeyBytes) {
		writeError(w, notRunError(http.StatusBadRequest, "idempotency_key", "the call needs an Idempotency-Key of 1 to 255 bytes"))
		return
	}
	body, ok := d.readBody(w, r)
	if !ok {
		return
	}
	call := core.Call{
		Customer: customer.ID,
		Service:  name,
		// The engines are selected by the chat key. A plain call has no chat, so a hash of the
		// customer and the idempotency key takes its place.
		Chat:           fleet.ChatKey(fleet.Hash("call", string(customer.ID), key)),
		Fingerprint:    fleet.Fingerprint(fleet.Hash("plain", r.Method, path, r.URL.RawQuery, string(body))),
		NonIdempotent:  nonIdempotent,
		IdempotencyKey: key,
	}
	d.serveCall(r, call, &plainResponder{
		daemon:         d,
		w:              w,
		controller:     http.NewResponseController(w),
		method:         r.Method,
		path:           path,
		query:          r.URL.RawQuery,
		header:         r.Header,
		body:           body,
		nonIdempotent:  nonIdempotent,
		serviceTimeout: service.Timeout,
	})
}

// servicePath returns the part of the request's path after the service's name, as the caller
// encoded it: an encoded slash is part of a segment and must not become a separator. matchedPath
// is the decoded path from the HTTP router, by which the call is checked for idempotency.
// servicePath returns false if the two paths differ, as with an encoded slash in the service's
// name: the call that is checked would not be the call that is sent.
func servicePath(r *http.Request, matchedPath string) (string, bool) {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), servicesPrefix)
	slash := strings.IndexByte(rest, '/')
	if !ok || slash < 0 {
		return "", false
	}
	unescaped, err := url.PathUnescape(rest[slash:])
	return rest[slash:], err == nil && unescaped == matchedPath
}

// authenticate returns the configuration in force and the customer of the request's API key. It
// answers the caller with 401 for an unknown key and with 503 before the first configuration, and
// returns false.
func (d *Daemon) authenticate(w http.ResponseWriter, r *http.Request) (*config.Snapshot, *config.Customer, bool) {
	snapshot := d.snapshot.Load()
	if snapshot == nil {
		writeError(w, notRunError(http.StatusServiceUnavailable, "no_configuration", "no configuration is in force yet"))
		return nil, nil, false
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(key))
	customer := snapshot.Customers[snapshot.KeyDigests[hex.EncodeToString(digest[:])]]
	if !ok || customer == nil {
		d.metrics.count(core.CounterUnauthorized, 1)
		writeError(w, notRunError(http.StatusUnauthorized, "unauthorized", "unknown API key"))
		return nil, nil, false
	}
	return snapshot, customer, true
}

// readBody reads a request's body, up to the limit in the settings. If it cannot, it answers the
// caller with an error and returns false.
func (d *Daemon) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(d.settings.MaxRequestBodyBytes)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, notRunError(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes"))
		return nil, false
	}
	if err != nil {
		writeError(w, notRunError(http.StatusBadRequest, "body_unreadable", "the body could not be read"))
		return nil, false
	}
	return body, true
}

// chatService returns the first chat service for the model that the customer may use, or nil.
func chatService(snapshot *config.Snapshot, customer *config.Customer, model string) *config.Service {
	for _, service := range snapshot.ChatServices(model) {
		if customer.Allows(service.ID) {
			return service
		}
	}
	return nil
}

// conversationID returns the conversation id that the caller sent. Without one it returns a hash
// of the model and the messages up to the user's first message, which stay the same as the
// conversation grows.
func conversationID(r *http.Request, chat chatRequest) string {
	if id := firstNonEmpty(r.Header.Get(conversationHeader), chat.Conversation); id != "" {
		return id
	}
	parts := []string{"conversation", chat.Model}
	for _, message := range chat.Messages {
		parts = append(parts, string(message))
		if messageRole(message) == "user" {
			break
		}
	}
	return strconv.FormatUint(fleet.Hash(parts...), 16)
}

func messageRole(message json.RawMessage) string {
	var m struct {
		Role string `json:"role"`
	}
	_ = json.Unmarshal(message, &m)
	return m.Role
}

// chatFingerprint returns a hash of the model and the messages. A request that is sent again has
// the same fingerprint, also under another conversation id.
func chatFingerprint(chat chatRequest) fleet.Fingerprint {
	parts := make([]string, 0, len(chat.Messages)+2)
	parts = append(parts, "chat", chat.Model)
	for _, message := range chat.Messages {
		parts = append(parts, string(message))
	}
	return fleet.Fingerprint(fleet.Hash(parts...))
}

func firstNonEmpty(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}
