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
)

const (
	conversationHeader   = "X-Conversation-Id"
	callerPriorityHeader = "X-Bilberry-Priority"
	idempotencyHeader    = "Idempotency-Key"
	servicesPrefix       = "/v1/services/"
	// maxIdempotencyKeyBytes bounds an idempotency key.
	maxIdempotencyKeyBytes = 255
)

// callerHandler returns the routes of the caller listener.
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
		writeError(w, notRun(http.StatusNotFound, "unknown_path", "no such path"))
	})
	return router
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
		writeError(w, notRun(http.StatusBadRequest, "bad_json", "the body is not a chat request: "+err.Error()))
		return
	}
	if len(chat.Messages) == 0 {
		writeError(w, notRun(http.StatusBadRequest, "no_messages", "the field messages is empty"))
		return
	}
	service := chatService(snapshot, customer, chat.Model)
	if service == nil {
		writeError(w, notRun(http.StatusNotFound, core.CodeUnknownService, "unknown model "+strconv.Quote(chat.Model)))
		return
	}
	chatKey := fleet.ChatKeyOf(customer.ID, conversation(r, chat))
	call := core.Call{
		Customer:    customer.ID,
		Service:     service.ID,
		Chat:        chatKey,
		Fingerprint: chatFingerprint(chat),
		Priority:    firstNonEmpty(r.Header.Get(callerPriorityHeader), chat.Priority),
	}
	d.serveCall(r, call, &chatResponder{
		d:       d,
		w:       w,
		control: http.NewResponseController(w),
		body:    body,
		stream:  chat.Stream,
		chatKey: strconv.FormatUint(uint64(chatKey), 10),
		timeout: service.Timeout,
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
		writeError(w, notRun(http.StatusNotFound, core.CodeUnknownService, "unknown service "+strconv.Quote(string(name))))
		return
	}
	path, ok := servicePath(r, params.ByName("path"))
	if !ok {
		writeError(w, notRun(http.StatusNotFound, "unknown_path", "no such path"))
		return
	}
	key := r.Header.Get(idempotencyHeader)
	nonIdempotent := service.IsNonIdempotent(r.Method, params.ByName("path"))
	if nonIdempotent && (key == "" || len(key) > maxIdempotencyKeyBytes) {
		writeError(w, notRun(http.StatusBadRequest, "idempotency_key", "the call needs an Idempotency-Key of 1 to 255 bytes"))
		return
	}
	body, ok := d.readBody(w, r)
	if !ok {
		return
	}
	call := core.Call{
		Customer:       customer.ID,
		Service:        name,
		Chat:           fleet.ChatKey(fleet.Hash("call", string(customer.ID), key)),
		Fingerprint:    fleet.Fingerprint(fleet.Hash("plain", r.Method, path, r.URL.RawQuery, string(body))),
		NonIdempotent:  nonIdempotent,
		IdempotencyKey: key,
	}
	d.serveCall(r, call, &plainResponder{
		d:             d,
		w:             w,
		control:       http.NewResponseController(w),
		method:        r.Method,
		path:          path,
		query:         r.URL.RawQuery,
		header:        r.Header,
		body:          body,
		nonIdempotent: nonIdempotent,
		timeout:       service.Timeout,
	})
}

// servicePath returns the path of a service's call as the caller sent it: an encoded slash
// is data of the service and must not become a separator. decoded is the path that the
// router matched. An encoded slash in the service's name would make the two differ, so that
// the call checked for idempotency were not the one sent; it returns false then.
func servicePath(r *http.Request, decoded string) (string, bool) {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), servicesPrefix)
	at := strings.IndexByte(rest, '/')
	if !ok || at < 0 {
		return "", false
	}
	plain, err := url.PathUnescape(rest[at:])
	return rest[at:], err == nil && plain == decoded
}

// authenticate finds the customer of an API key. It answers 401 for an unknown key and 503
// before the first configuration.
func (d *Daemon) authenticate(w http.ResponseWriter, r *http.Request) (*config.Snapshot, *config.Customer, bool) {
	snapshot := d.snapshot.Load()
	if snapshot == nil {
		writeError(w, notRun(http.StatusServiceUnavailable, "no_configuration", "no configuration is in force yet"))
		return nil, nil, false
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(key))
	customer := snapshot.Customers[snapshot.KeyDigests[hex.EncodeToString(digest[:])]]
	if !ok || customer == nil {
		d.metrics.count(core.CounterUnauthorized, 1)
		writeError(w, notRun(http.StatusUnauthorized, "unauthorized", "unknown API key"))
		return nil, nil, false
	}
	return snapshot, customer, true
}

// readBody reads a request's body up to the published limit.
func (d *Daemon) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(d.settings.RequestBodyBytes)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, notRun(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes"))
		return nil, false
	}
	if err != nil {
		writeError(w, notRun(http.StatusBadRequest, "body_unreadable", "the body could not be read"))
		return nil, false
	}
	return body, true
}

// chatService finds the chat service of a model that the customer may use.
func chatService(snapshot *config.Snapshot, customer *config.Customer, model string) *config.Service {
	for _, service := range snapshot.ChatServices(model) {
		if customer.Allows(service.ID) {
			return service
		}
	}
	return nil
}

// conversation returns the id of a chat's conversation. Without one it falls back to the
// model and the messages up to the first user's, which stay the same as a chat grows.
func conversation(r *http.Request, chat chatRequest) string {
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

// chatFingerprint identifies what an engine runs: a resend by the same caller has the same
// fingerprint whatever its conversation id.
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
