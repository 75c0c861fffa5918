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
	"github.com/bilberrywell/bilberrywell/internal/httputil"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// dialTimeout bounds a new connection to an engine.
	dialTimeout = 2 * time.Second
	// idleConnTimeout is the time after which an idle connection to an engine is closed. It is
	// short because a middlebox may drop an idle connection without notice to either end.
	idleConnTimeout = 30 * time.Second
	// idleConnsPerEngine bounds the idle connections to one engine.
	idleConnsPerEngine = 64
	// upstreamReadBytes and upstreamWriteBytes are the sizes of the buffers of a connection,
	// which stay allocated while its stream is open. Larger reads and writes bypass the buffers.
	upstreamReadBytes = 2 << 10
	// maxHeadBytes bounds the head of an engine's response.
	maxHeadBytes       = 64 << 10
	upstreamWriteBytes = 1 << 10
)

// errStalled reports an attempt that made no progress within its stall timeout.
var errStalled = errors.New("daemon: no progress within the stall timeout")

// upstreams holds a connection pool per engine, so that the connections of one engine can be
// dropped without those of the others.
type upstreams struct {
	mu    sync.Mutex
	pools map[fleet.EngineID]*http.Transport
	// unpooled opens a new connection for each call. net/http resends a request with an
	// Idempotency-Key when a reused connection breaks, which could run the call twice.
	unpooled *http.Transport
}

func newUpstreams() *upstreams {
	unpooled := newTransport()
	unpooled.DisableKeepAlives = true
	return &upstreams{pools: make(map[fleet.EngineID]*http.Transport), unpooled: unpooled}
}

// dial opens a connection within dialTimeout.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return newEngineConn(conn), nil
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idleConnsPerEngine,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		WriteBufferSize:     upstreamWriteBytes,
		ReadBufferSize:      upstreamReadBytes,
		// The default, 10 MiB for each response, would let a faulty engine fill the memory.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// transport returns the connection pool of an engine, which it creates at the first use.
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

// dropPool closes the idle connections of an engine after a stall, because they may stall for
// the same reason. The next request to the engine gets a new pool.
func (u *upstreams) dropPool(engine fleet.EngineID) {
	u.mu.Lock()
	t := u.pools[engine]
	delete(u.pools, engine)
	u.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// retain drops the pools of the engines that are not in published.
func (u *upstreams) retain(published map[fleet.EngineID]bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for engine, t := range u.pools {
		if !published[engine] {
			t.CloseIdleConnections()
			delete(u.pools, engine)
		}
	}
}

func (u *upstreams) close() {
	u.retain(nil)
	u.unpooled.CloseIdleConnections()
}

// exchange is one request to an engine with its response. It is canceled when it makes no progress
// within stallTimeout.
type exchange struct {
	// sent is set when the request gets a connection. From then on bytes of it may have reached
	// the engine.
	sent atomic.Bool
	// stalled is set when stallTimer has fired.
	stalled      atomic.Bool
	cancel       context.CancelFunc
	stallTimer   *time.Timer
	stallTimeout time.Duration
}

// newExchange returns a context for a request. The context is canceled when progress is
// not called within stallTimeout.
func newExchange(ctx context.Context, stallTimeout time.Duration) (context.Context, *exchange) {
	ctx, cancel := context.WithCancel(ctx)
	x := &exchange{cancel: cancel, stallTimeout: stallTimeout}
	x.stallTimer = time.AfterFunc(stallTimeout, func() {
		x.stalled.Store(true)
		cancel()
	})
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { x.sent.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), x
}

// runExchange sends one request to an engine and passes the response to receive. It cancels the
// request when it stalls, or when interrupt ends before the engine has answered, and returns how the attempt ended.
func runExchange(
	ctx context.Context,
	interrupt context.Context,
	stallTimeout time.Duration,
	cmd core.StartAttempt,
	send func(context.Context, core.StartAttempt) (*http.Response, error),
	receive func(*http.Response, *exchange) wire.Result,
) wire.Result {
	exchangeCtx, x := newExchange(ctx, stallTimeout)
	defer x.close()
	stop := context.AfterFunc(interrupt, x.cancel)
	defer stop()
	res, err := send(exchangeCtx, cmd)
	if err != nil {
		return resultOf(ctx, x, err)
	}
	defer res.Body.Close()
	stop()
	if !httputil.IsFinalStatus(res.StatusCode) {
		return wire.ResultBroken
	}
	x.progress()
	confirmEnd(exchangeCtx, res, cmd.Target.Addr)
	return receive(res, x)
}

// progress restarts the stall timer.
func (x *exchange) progress() { x.stallTimer.Reset(x.stallTimeout) }

// close ends the exchange and frees its connection.
func (x *exchange) close() {
	x.stallTimer.Stop()
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
