package daemon

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// dialTimeout bounds a new connection to an engine.
	dialTimeout = 2 * time.Second
	// idleConnTimeout closes unused connections to engines. It is short because a middlebox
	// may drop an idle connection without telling either end.
	idleConnTimeout = 30 * time.Second
	// idleConnsPerEngine bounds unused connections to one engine.
	idleConnsPerEngine = 64
	// upstreamReadBytes and upstreamWriteBytes are the sizes of the buffers of a connection,
	// which are held as long as its stream is open. Parts larger than a buffer bypass it.
	upstreamReadBytes  = 2 << 10
	upstreamWriteBytes = 1 << 10
)

// errStalled reports an attempt without progress within its stall timeout.
var errStalled = errors.New("daemon: no progress within the stall timeout")

// upstreams holds a connection pool per engine, so that the connections of one engine can be replaced alone.
type upstreams struct {
	mu    sync.Mutex
	pools map[fleet.EngineID]*http.Transport
	// fresh opens a connection per call. net/http resends a request with an
	// Idempotency-Key when a reused connection breaks, which would run a call twice.
	fresh *http.Transport
}

func newUpstreams() *upstreams {
	fresh := newTransport()
	fresh.DisableKeepAlives = true
	return &upstreams{pools: make(map[fleet.EngineID]*http.Transport), fresh: fresh}
}

// dial opens a connection within dialTimeout.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idleConnsPerEngine,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		WriteBufferSize:     upstreamWriteBytes,
		ReadBufferSize:      upstreamReadBytes,
	}
}

// transport returns the pool of an engine.
func (u *upstreams) transport(engine fleet.EngineID) *http.Transport {
	u.mu.Lock()
	defer u.mu.Unlock()
	t := u.pools[engine]
	if t == nil {
		t = newTransport()
		u.pools[engine] = t
	}
	return t
}

// replace drops the unused connections of an engine after a stall: others of the same
// pool may be silent for the same reason.
func (u *upstreams) replace(engine fleet.EngineID) {
	u.mu.Lock()
	t := u.pools[engine]
	delete(u.pools, engine)
	u.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// retain drops the pools of engines that are no longer published.
func (u *upstreams) retain(keep map[fleet.EngineID]bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for engine, t := range u.pools {
		if !keep[engine] {
			t.CloseIdleConnections()
			delete(u.pools, engine)
		}
	}
}

func (u *upstreams) close() {
	u.retain(nil)
	u.fresh.CloseIdleConnections()
}

// exchange is one request to an engine with a stall watch.
type exchange struct {
	// sent tells that a byte of the request may have reached the engine.
	sent    atomic.Bool
	stalled atomic.Bool
	cancel  context.CancelFunc
	watch   *time.Timer
	timeout time.Duration
}

// newExchange returns a context for a request. The context is canceled when progress is
// not called within timeout.
func newExchange(ctx context.Context, timeout time.Duration) (context.Context, *exchange) {
	ctx, cancel := context.WithCancel(ctx)
	x := &exchange{cancel: cancel, timeout: timeout}
	x.watch = time.AfterFunc(timeout, func() {
		x.stalled.Store(true)
		cancel()
	})
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { x.sent.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), x
}

// exchangeOnce sends one request to an engine under a stall watch and hands the answer to
// receive. It returns how the attempt ended.
func exchangeOnce(
	ctx context.Context,
	timeout time.Duration,
	cmd core.StartAttempt,
	send func(context.Context, core.StartAttempt) (*http.Response, error),
	receive func(*http.Response, *exchange) wire.Result,
) wire.Result {
	watched, x := newExchange(ctx, timeout)
	defer x.close()
	res, err := send(watched, cmd)
	if err != nil {
		return resultOf(ctx, x, err)
	}
	defer res.Body.Close()
	x.progress()
	return receive(res, x)
}

// progress restarts the stall watch.
func (x *exchange) progress() { x.watch.Reset(x.timeout) }

// close ends the exchange and frees its connection.
func (x *exchange) close() {
	x.watch.Stop()
	x.cancel()
}

// progressReader reports each successful read as progress.
type progressReader struct {
	r io.Reader
	x *exchange
}

func (p progressReader) Read(buf []byte) (int, error) {
	n, err := p.r.Read(buf)
	if n > 0 {
		p.x.progress()
	}
	if err != nil && err != io.EOF && p.x.stalled.Load() {
		return n, errStalled
	}
	return n, err
}
