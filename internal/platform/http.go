package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
)

const (
	// callTimeout bounds a call that does not wait. The service answers in milliseconds, so a
	// longer silence is an outage.
	callTimeout = 2 * time.Second
	// idleConnections covers a watch, a lease renewal and concurrent claim writes of one
	// instance. The default of 2 would open a connection for most calls.
	idleConnections = 16
	// maxBodyBytes bounds answers other than values. A row of the instance list has about 150
	// bytes.
	maxBodyBytes = 4 << 20
	// revisionHeader carries a key's revision; zero stands for an absent key.
	revisionHeader = "X-Revision"
)

// ErrTooLarge reports a value above MaxValueBytes. The write had no effect.
var ErrTooLarge = errors.New("platform: value too large")

// HTTP is a client of the platform's HTTP interface. It implements Store and Directory.
type HTTP struct {
	base   string
	client *http.Client
}

var (
	_ Store     = (*HTTP)(nil)
	_ Directory = (*HTTP)(nil)
)

// NewHTTP returns a client of the service at baseURL. A nil client stands for a new one. A
// client with a Timeout must allow for the longest wait of Watch.
func NewHTTP(baseURL string, client *http.Client) *HTTP {
	if client == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.MaxIdleConnsPerHost = idleConnections
		client = &http.Client{Transport: transport}
	}
	return &HTTP{base: strings.TrimSuffix(baseURL, "/"), client: client}
}

// Get returns the entry of a key, ErrNotFound, or ErrUnavailable.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	entry, err := h.read(ctx, key, "", callTimeout)
	if err == nil && entry.Revision == 0 {
		return Entry{}, ErrNotFound
	}
	return entry, err
}

// Watch waits at most wait for a revision above after and returns the current entry. An
// absent key is an entry with revision zero.
func (h *HTTP) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	query := url.Values{
		"after": {strconv.FormatUint(after, 10)},
		"wait":  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return h.read(ctx, key, query.Encode(), wait+callTimeout)
}

func (h *HTTP) read(ctx context.Context, key, query string, timeout time.Duration) (Entry, error) {
	a, err := h.call(ctx, http.MethodGet, "/kv/", key, query, nil, timeout)
	switch {
	case err != nil:
		return Entry{}, readError(err)
	case a.status == http.StatusNotFound && a.header.Get(revisionHeader) == "0":
		return Entry{}, nil
	case a.status == http.StatusNotFound:
		// Not the service's own answer, such as one to a wrong base URL.
		return Entry{}, oops.In("platform").With("status", a.status).Wrap(ErrUnavailable)
	case a.status != http.StatusOK:
		return Entry{}, a.refusal(ErrUnavailable)
	}
	revision, err := a.revision()
	if err != nil {
		return Entry{}, readError(err)
	}
	return Entry{Value: a.body, Revision: revision}, nil
}

// readError makes every failed read ErrUnavailable, since a read has no effect to be unsure of.
func readError(err error) error {
	if errors.Is(err, ErrUnknown) {
		return oops.In("platform").Wrap(errors.Join(ErrUnavailable, errors.Unwrap(err)))
	}
	return err
}

// CompareAndSwap writes value if the key's revision is expect. It returns ErrConflict,
// ErrTooLarge, ErrUnavailable or ErrUnknown.
func (h *HTTP) CompareAndSwap(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	if value == nil {
		value = []byte{}
	}
	query := "expect=" + strconv.FormatUint(expect, 10)
	a, err := h.call(ctx, http.MethodPut, "/kv/", key, query, value, callTimeout)
	switch {
	case err != nil && a.status != http.StatusOK:
		return 0, err
	case a.status == http.StatusOK:
		return a.revision()
	default:
		return 0, a.refusal(ErrUnknown)
	}
}

type acquireRequest struct {
	Holder string `json:"holder"`
	TTLMS  int64  `json:"ttl_ms"`
}

type acquireAnswer struct {
	Fence uint64 `json:"fence"`
	TTLMS int64  `json:"ttl_ms"`
}

type releaseRequest struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

// Acquire takes or renews a lease. It returns ErrConflict, ErrUnavailable or ErrUnknown. The
// TTL counts from before the call.
func (h *HTTP) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	body, _ := json.Marshal(acquireRequest{holder, ttl.Milliseconds()})
	a, err := h.call(ctx, http.MethodPost, "/lease/", name+"/acquire", "", body, callTimeout)
	if err != nil {
		return Lease{}, err
	}
	if a.status != http.StatusOK {
		return Lease{}, a.refusal(ErrUnknown)
	}
	var answer acquireAnswer
	if err := json.Unmarshal(a.body, &answer); err != nil || answer.Fence == 0 || answer.TTLMS <= 0 {
		return Lease{}, unknown(oops.Errorf("bad answer to acquire"))
	}
	return Lease{Name: name, Holder: holder, Fence: answer.Fence, TTL: time.Duration(answer.TTLMS) * time.Millisecond}, nil
}

// Release gives up a lease. It returns ErrConflict if fence is not current, ErrUnavailable or
// ErrUnknown.
func (h *HTTP) Release(ctx context.Context, name, holder string, fence uint64) error {
	body, _ := json.Marshal(releaseRequest{holder, fence})
	a, err := h.call(ctx, http.MethodPost, "/lease/", name+"/release", "", body, callTimeout)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK && a.status != http.StatusNoContent {
		return a.refusal(ErrUnknown)
	}
	return nil
}

// Instances returns the platform's list of instances, or ErrUnavailable.
func (h *HTTP) Instances(ctx context.Context) ([]Instance, error) {
	a, err := h.call(ctx, http.MethodGet, "/instances", "", "", nil, callTimeout)
	if err != nil {
		return nil, readError(err)
	}
	if a.status != http.StatusOK {
		return nil, a.refusal(ErrUnavailable)
	}
	var list []Instance
	if err := json.Unmarshal(a.body, &list); err != nil {
		return nil, oops.In("platform").Wrap(errors.Join(ErrUnavailable, err))
	}
	return list, nil
}

// answer is a received HTTP answer. Status is zero if none arrived.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// revision returns the revision header. An answer without it leaves the outcome unknown.
func (a answer) revision() (uint64, error) {
	n, err := strconv.ParseUint(a.header.Get(revisionHeader), 10, 64)
	if err != nil || n == 0 {
		return 0, unknown(oops.Errorf("answer without %s", revisionHeader))
	}
	return n, nil
}

// refusal maps a status other than success. Other is the error for statuses outside the
// protocol that leave the effect open, such as 500 and 502.
func (a answer) refusal(other error) error {
	var kind error
	switch {
	case a.status == http.StatusConflict:
		kind = ErrConflict
	case a.status == http.StatusRequestEntityTooLarge:
		kind = ErrTooLarge
	case a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable:
		kind = ErrUnavailable
	case a.status >= 400 && a.status < 500:
		return oops.In("platform").Code("refused").Errorf("platform refused the call with status %d", a.status)
	default:
		kind = other
	}
	return oops.In("platform").With("status", a.status).Wrap(kind)
}

func unknown(err error) error {
	return &callError{kind: ErrUnknown, cause: err}
}

// callError is a failed call with its class.
type callError struct{ kind, cause error }

func (e *callError) Error() string        { return e.kind.Error() + ": " + e.cause.Error() }
func (e *callError) Unwrap() error        { return e.cause }
func (e *callError) Is(target error) bool { return target == e.kind }

// call sends one request. A failure before a connection was ready is ErrUnavailable, because
// no byte was sent. Every later failure is ErrUnknown.
func (h *HTTP) call(ctx context.Context, method, prefix, name, query string, body []byte, timeout time.Duration) (answer, error) {
	path, err := escape(name)
	if err != nil {
		return answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, h.base+prefix+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, oops.In("platform").Wrapf(err, "bad platform address")
	}
	request.URL.RawQuery = query
	response, err := h.client.Do(request)
	if err != nil && !connected.Load() {
		return answer{}, &callError{kind: ErrUnavailable, cause: err}
	}
	if err != nil {
		return answer{}, unknown(err)
	}
	defer func() { _ = response.Body.Close() }()
	return receive(response)
}

func receive(response *http.Response) (answer, error) {
	a := answer{status: response.StatusCode, header: response.Header}
	var err error
	a.body, err = io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err != nil {
		return a, unknown(err)
	}
	if len(a.body) > maxBodyBytes {
		return a, unknown(oops.Errorf("answer above %d bytes", maxBodyBytes))
	}
	return a, nil
}

// escape escapes a key segment by segment. Dots are escaped in segments that consist of dots,
// which servers and clients would otherwise resolve.
func escape(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	segments := strings.Split(name, "/")
	for i, segment := range segments {
		if segment == "" {
			return "", oops.In("platform").Code("bad_key").Errorf("key %q has an empty segment", name)
		}
		segments[i] = url.PathEscape(segment)
		if strings.Trim(segment, ".") == "" {
			segments[i] = strings.ReplaceAll(segment, ".", "%2E")
		}
	}
	return strings.Join(segments, "/"), nil
}
