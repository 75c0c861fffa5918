package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

// bed is a relay, a dialer whose own path is cut off, and an engine.
type bed struct {
	t      *testing.T
	server *Server
	dialer *Dialer
	engine *net.TCPListener
	http   *httptest.Server
}

func refuseDial(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }

func clock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

func newBed(t *testing.T) *bed {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &bed{t: t, engine: l.(*net.TCPListener)}
	b.server = &Server{
		Authorized: func(r *http.Request) bool { return r.Header.Get("Authorization") == "Bearer secret" },
		Serves:     func(addr string) bool { return addr == b.addr() },
		Dialer:     NewDialer(Config{Clock: clock(), Metrics: metrics.NewSet()}, 1),
	}
	b.http = httptest.NewServer(b.server)
	b.dialer = NewDialer(Config{Dial: refuseDial, Secret: "secret", Clock: clock(), Metrics: metrics.NewSet()}, 1)
	b.dialer.PeerUp("peer", b.relayAddr())
	t.Cleanup(func() {
		b.http.Close()
		b.server.Close()
		_ = l.Close()
	})
	return b
}

func (b *bed) addr() string      { return b.engine.Addr().String() }
func (b *bed) relayAddr() string { return strings.TrimPrefix(b.http.URL, "http://") }

// connect returns both ends of a relayed connection.
func (b *bed) connect() (peer net.Conn, engine *net.TCPConn) {
	peer, err := b.dialer.DialContext(b.t.Context(), "tcp", b.addr())
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = peer.Close() })
	require.NoError(b.t, b.engine.SetDeadline(time.Now().Add(10*time.Second)))
	engine, err = b.engine.AcceptTCP()
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = engine.Close() })
	for _, c := range []net.Conn{peer, engine} {
		require.NoError(b.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	}
	return peer, engine
}

func (b *bed) awaitClosed() {
	require.Eventually(b.t, func() bool { return b.server.Open() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against bytes that are lost, changed or reordered in a relay.
func TestBytesPassBothWays(t *testing.T) {
	b := newBed(t)
	peer, engine := b.connect()
	request, response := strings.Repeat("request ", 20_000), strings.Repeat("response ", 100_000)
	go func() { _, _ = io.WriteString(peer, request) }()
	got := make([]byte, len(request))
	_, err := io.ReadFull(engine, got)
	require.NoError(t, err)
	require.Equal(t, request, string(got))
	go func() {
		_, _ = io.WriteString(engine, response)
		_ = engine.Close()
	}()
	all, err := io.ReadAll(peer)
	require.NoError(t, err)
	require.Equal(t, response, string(all))
	_ = peer.Close()
	b.awaitClosed()
}

// Guards against the part of a response that looks complete although its engine, its relay or the path between them is
// gone.
func TestOnlyTheEnginesOwnEndIsOrderly(t *testing.T) {
	for name, end := range map[string]func(b *bed, engine *net.TCPConn){
		"the engine closes": func(_ *bed, engine *net.TCPConn) { _ = engine.Close() },
		"the engine resets": func(_ *bed, engine *net.TCPConn) {
			_ = engine.SetLinger(0)
			_ = engine.Close()
		},
		"the relay stops": func(b *bed, _ *net.TCPConn) { b.server.Close() },
		"the relay is killed": func(b *bed, _ *net.TCPConn) {
			// The kernel closes the connections of a process in order.
			b.server.mu.Lock()
			defer b.server.mu.Unlock()
			for p := range b.server.open {
				_ = p.peer.CloseWrite()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			peer, engine := b.connect()
			_, err := io.WriteString(engine, "part")
			require.NoError(t, err)
			part := make([]byte, 4)
			_, err = io.ReadFull(peer, part)
			require.NoError(t, err)
			end(b, engine)
			_, err = peer.Read(part)
			if name == "the engine closes" {
				require.Equal(t, io.EOF, err)
				return
			}
			require.Error(t, err)
			require.NotEqual(t, io.EOF, err)
			require.False(t, errors.Is(err, syscall.ETIMEDOUT) || isTimeout(err), err)
		})
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Guards against an engine that goes on to work for an instance that has closed its connection.
func TestEngineSeesThatTheInstanceHasLeft(t *testing.T) {
	b := newBed(t)
	peer, engine := b.connect()
	require.NoError(t, peer.Close())
	_, err := engine.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
	// The engine does not close its side.
	b.awaitClosed()
	require.Eventually(t, func() bool {
		_, err = engine.Write([]byte("x"))
		return err != nil
	}, 10*time.Second, time.Millisecond)
}

// Guards against a relay for addresses that are no engine's, or for those who aren't of the fleet.
func TestRelayRefuses(t *testing.T) {
	b := newBed(t)
	other, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = other.Close() }()
	_, err = dialPeer(t.Context(), b.relayAddr(), "secret", other.Addr().String())
	require.ErrorIs(t, err, errDeclined)
	for name, dial := range map[string]func() error{
		"no secret": func() error {
			_, err := dialPeer(t.Context(), b.relayAddr(), "", b.addr())
			return err
		},
		"stopping": func() error {
			b := newBed(t)
			b.server.Stop()
			_, err := dialPeer(t.Context(), b.relayAddr(), "secret", b.addr())
			return err
		},
		"no relay": func() error {
			_, err := dialPeer(t.Context(), b.addr()+"0", "secret", b.addr())
			return err
		},
	} {
		t.Run(name, func(t *testing.T) { require.ErrorIs(t, dial(), errNoHelp) })
	}
	require.Zero(t, b.server.Open())
}

// Guards against the verdict of a peer that has lost its own path.
func TestPeerThatIsCutOffTooGivesNoVerdict(t *testing.T) {
	b := newBed(t)
	b.server.Dialer.config.Dial = refuseDial
	_, err := dialPeer(t.Context(), b.relayAddr(), "secret", b.addr())
	require.ErrorIs(t, err, errEngineUnreachable)
	_, err = dialPeer(t.Context(), b.relayAddr(), "secret", b.addr())
	require.ErrorIs(t, err, errNoHelp)
}

// Guards against a dial that waits for a path that hangs, and against connections that stay open when another one has
// won.
func TestDialDoesNotWaitForAPathThatHangs(t *testing.T) {
	b := newBed(t)
	var hanging atomic.Int32
	b.dialer.config.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		hanging.Add(1)
		defer hanging.Add(-1)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for range 3 {
		b.connect()
	}
	require.Eventually(t, func() bool { return hanging.Load() == 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, 3, b.server.Open())
}

// Guards against a dial that outlives its context.
func TestDialEndsWithItsContext(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	d := NewDialer(Config{Dial: refuseDial, Clock: clock(), Metrics: metrics.NewSet()}, 1)
	d.PeerUp("silent", silent.Addr().String())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = d.DialContext(ctx, "tcp", "127.0.0.1:1")
	require.ErrorIs(t, err, context.DeadlineExceeded)
}
