package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// network connects managers through in-memory pipes. Addresses are instance IDs.
type network struct {
	mu        sync.Mutex
	listeners map[string]chan net.Conn
	// writesDropped is shared by the connections opened since the last call of dropWrites.
	writesDropped *atomic.Bool
}

func newNetwork() *network {
	return &network{listeners: map[string]chan net.Conn{}, writesDropped: new(atomic.Bool)}
}

// dropWrites makes all open connections discard what is written. New connections work.
func (n *network) dropWrites() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.writesDropped.Store(true)
	n.writesDropped = new(atomic.Bool)
}

type pipe struct {
	net.Conn
	writesDropped *atomic.Bool
}

func (p pipe) Write(b []byte) (int, error) {
	if p.writesDropped.Load() {
		return len(b), nil
	}
	return p.Conn.Write(b)
}

func (n *network) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	writesDropped, listener := n.writesDropped, n.listeners[host]
	n.mu.Unlock()
	client, server := net.Pipe()
	select {
	case listener <- pipe{server, writesDropped}:
		return pipe{client, writesDropped}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type listener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, errors.New("closed")
	}
}
func (l listener) Close() error   { close(l.closed); return nil }
func (l listener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// node is a manager with its server and a log of its callbacks.
type node struct {
	*Manager
	server *http.Server
	mu     sync.Mutex
	log    []string
}

func (n *node) record(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log = append(n.log, fmt.Sprintf(format, args...))
}

// events returns the logged callbacks since its last call.
func (n *node) events() string {
	synctest.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	defer func() { n.log = nil }()
	return strings.Join(n.log, " ")
}

func (n *node) stop() {
	_ = n.server.Close()
	n.Close()
}

func startNode(nw *network, id string, incarnation uint64) *node {
	n := &node{}
	n.Manager = New(Config{
		Self:   wire.Hello{Instance: fleet.InstanceID(id), Incarnation: incarnation},
		Secret: "s", Dial: nw.dial,
		// Without jitter both sides of a simultaneous dial retry at the same times, which is the
		// worst case.
		Jitter:    func(limit time.Duration) time.Duration { return limit },
		OnUp:      func(h wire.Hello) { n.record("up-%s-%d", h.Instance, h.Incarnation) },
		OnDown:    func(i fleet.InstanceID, inc uint64) { n.record("down-%s-%d", i, inc) },
		OnMessage: func(i fleet.InstanceID, inc uint64, m wire.Message) { n.record("%s-%s-%d", m.Kind(), i, inc) },
	})
	l := listener{make(chan net.Conn), make(chan struct{})}
	nw.mu.Lock()
	nw.listeners[id] = l.conns
	nw.mu.Unlock()
	n.server = &http.Server{Handler: n.Handler()}
	go func() { _ = n.server.Serve(l) }()
	return n
}

func target(id string) []Target {
	return []Target{{ID: fleet.InstanceID(id), Addr: id, Dial: true}}
}

// sendHeartbeats sends a heartbeat of each node on all its links once per second.
func sendHeartbeats(seconds int, nodes ...*node) {
	for range seconds {
		for _, n := range nodes {
			n.SendAll(&wire.Heartbeat{Sequence: 1})
		}
		time.Sleep(time.Second)
	}
}

// Guards against accepting links without the fleet's secret.
func TestWrongSecret(t *testing.T) {
	m := New(Config{Self: wire.Hello{Instance: "a"}, Secret: "right"})
	defer m.Close()
	for _, header := range []string{"", "Bearer wrong", "right", "Bearer right2"} {
		request := httptest.NewRequest(http.MethodGet, Path, nil)
		request.Header.Set("Authorization", header)
		response := httptest.NewRecorder()
		m.Handler().ServeHTTP(response, request)
		require.Equal(t, http.StatusUnauthorized, response.Code)
	}
}

// Guards against keeping a half-open connection, and against losing messages after its replacement.
func TestSilentLinkIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		a, b := startNode(nw, "a", 1), startNode(nw, "b", 2)
		defer a.stop()
		defer b.stop()
		a.SetTargets(target("b"))
		require.Equal(t, "up-b-2", a.events())
		require.Equal(t, "up-a-1", b.events())
		sendHeartbeats(10, a, b)
		require.Equal(t, strings.TrimSpace(strings.Repeat("heartbeat-b-2 ", 10)), a.events())
		b.events()
		nw.dropWrites()
		sendHeartbeats(4, a, b)
		require.True(t, strings.HasPrefix(a.events(), "down-b-2 up-b-2"))
		require.True(t, strings.HasPrefix(b.events(), "down-a-1 up-a-1"))
		require.True(t, b.Send("a", &wire.Release{Attempt: 1}))
		require.Equal(t, "release-b-2", a.events())
	})
}

// Guards against ending with two links, or none, when both sides dial at once.
func TestSimultaneousDials(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			nw := newNetwork()
			a, b := startNode(nw, "a", 1), startNode(nw, "b", uint64(seed))
			defer a.stop()
			defer b.stop()
			a.SetTargets(target("b"))
			b.SetTargets(target("a"))
			sendHeartbeats(20, a, b)
			a.events()
			b.events()
			require.Equal(t, 1, a.SendAll(&wire.Release{}))
			require.Equal(t, 1, b.SendAll(&wire.Release{}))
			require.Equal(t, fmt.Sprintf("release-b-%d", seed), a.events())
			require.Equal(t, "release-a-1", b.events())
			require.Equal(t, a.linkOf("b").dialer, b.linkOf("a").dialer)
		})
	}
}

// Guards against SendTo counting instances without a link as reached, or stopping at the first of
// them.
func TestSendToSkipsInstancesWithoutALink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		a, b := startNode(nw, "a", 1), startNode(nw, "b", 2)
		defer a.stop()
		defer b.stop()
		a.SetTargets(target("b"))
		b.SetTargets(target("a"))
		sendHeartbeats(20, a, b)
		a.events()
		b.events()
		require.Equal(t, 1, a.SendTo([]fleet.InstanceID{"c", "b"}, &wire.Release{}))
		sendHeartbeats(1, a, b)
		require.Contains(t, b.events(), "release-a-1")
		require.Zero(t, a.SendTo([]fleet.InstanceID{"c"}, &wire.Release{}))
	})
}

// Guards against refusing a restarted peer because the link of its former incarnation is still
// open, and against delivering messages of that incarnation later.
func TestNewIncarnationReplacesLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		a, old, restarted := startNode(nw, "a", 1), startNode(nw, "b", 5), startNode(nw, "b", 6)
		defer a.stop()
		defer old.stop()
		defer restarted.stop()
		old.SetTargets(target("a"))
		require.Equal(t, "up-b-5", a.events())
		formerLink := a.linkOf("b")
		restarted.SetTargets(target("a"))
		require.Equal(t, "down-b-5 up-b-6", a.events())
		formerLink.dispatch(&wire.Release{})
		sendHeartbeats(2, a, restarted)
		require.NotContains(t, a.events(), "b-5")
	})
}

// Guards against delaying single messages or admission messages, for which callers wait, and
// against sending a frame for each message of a burst.
func TestMessagesShareFrames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		a, b := startNode(nw, "a", 1), startNode(nw, "b", 2)
		defer a.stop()
		defer b.stop()
		a.SetTargets(target("b"))
		b.events()
		time.Sleep(time.Second)
		begin, frames := time.Now(), a.counters.frames[sent].Get()
		require.True(t, a.Send("b", &wire.Admit{}))
		require.Equal(t, "admit-a-1", b.events())
		burst := func() {
			for range 50 {
				require.True(t, a.Send("b", &wire.Release{}))
				synctest.Wait()
			}
			require.Empty(t, b.events())
		}
		burst()
		time.Sleep(minFrameInterval)
		require.Equal(t, 50, strings.Count(b.events(), "release-a"))
		require.Equal(t, minFrameInterval, time.Since(begin))
		require.Equal(t, frames+2, a.counters.frames[sent].Get())
		burst()
		require.True(t, a.Send("b", &wire.Admit{}))
		events := b.events()
		require.Equal(t, 50, strings.Count(events, "release-a"))
		require.Contains(t, events, "admit-a-1")
		require.Equal(t, minFrameInterval, time.Since(begin))
		require.Equal(t, frames+3, a.counters.frames[sent].Get())
	})
}

// Guards against keeping links to instances that are no longer targets.
func TestFormerTargetIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		a, b := startNode(nw, "a", 1), startNode(nw, "b", 2)
		defer a.stop()
		defer b.stop()
		a.SetTargets(target("b"))
		a.events()
		a.SetTargets(nil)
		require.Equal(t, "down-b-2", a.events())
		require.Equal(t, "up-a-1 down-a-1", b.events())
		require.False(t, a.Send("b", &wire.Release{}))
	})
}

// Guards against control traffic above the budget, against heartbeats that configuration messages
// hold up, and against admission messages that either of them delays.
func TestBudgetIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		a, b := startNode(nw, "a", 1), startNode(nw, "b", 2)
		defer a.stop()
		defer b.stop()
		a.SetTargets(target("b"))
		b.events()
		blob := &wire.Blob{Digest: "d", Data: make([]byte, 1000)}
		const seconds = 60
		for range seconds {
			for a.Send("b", blob) {
			}
			require.True(t, a.Send("b", &wire.Heartbeat{Sequence: 1}))
			for range 30 {
				require.True(t, a.Send("b", &wire.Admit{Attempt: 1, Engine: "engine"}))
			}
			b.SendAll(&wire.Heartbeat{Sequence: 1})
			time.Sleep(10 * time.Millisecond)
			events := b.events()
			require.Equal(t, 30, strings.Count(events, "admit-a"))
			require.Equal(t, 1, strings.Count(events, "heartbeat-a"))
			time.Sleep(990 * time.Millisecond)
		}
		var bytes uint64
		for kind := range wire.Kind(kindCount) {
			bytes += a.counters.bytes[sent][kind].Get()
		}
		bytes += a.counters.overhead[sent].Get()
		configuration := a.counters.bytes[sent][wire.KindBlob].Get()
		t.Logf("sent %d bytes in %d s, %d of them configuration", bytes, seconds, configuration)
		require.Less(t, bytes, uint64(DefaultBudget*(seconds+burstSeconds)))
		require.Greater(t, configuration, uint64(DefaultBudget*seconds/6))
	})
}

// Guards against sending lower classes before higher ones, and against bulk bytes that stay counted
// after their messages were sent.
func TestClassesAreOrdered(t *testing.T) {
	var bulk atomic.Int64
	queue := outbox{bulkBytes: &bulk}
	order := []wire.Kind{0, wire.KindHeartbeat, wire.KindBlob, wire.KindStrike, wire.KindClaimReply, wire.KindAdmit}
	for _, kind := range order {
		require.True(t, queue.push(packet{kind: kind, data: []byte{byte(kind)}}))
	}
	require.Equal(t, int64(2), bulk.Load())
	frame, wait := queue.collect(nil, 0, newBudget(DefaultBudget), func(packet) {})
	require.Zero(t, wait)
	for i, kind := range frame {
		require.Equal(t, order[len(order)-1-i], wire.Kind(kind))
	}
	require.Zero(t, bulk.Load())
}

// Guards against the two sides keeping different links of a simultaneous dial. The choice must not
// depend on the order in which a side sees the links.
func TestChoiceOfLinkIsSymmetric(t *testing.T) {
	byA, byB := &link{dialer: "a"}, &link{dialer: "b"}
	require.True(t, keepsPresent(byA, byB))
	require.False(t, keepsPresent(byB, byA))
	require.False(t, keepsPresent(byA, byA))
	restarted := &link{dialer: "b", hello: wire.Hello{Incarnation: 1}}
	require.True(t, keepsPresent(restarted, byA))
	require.False(t, keepsPresent(byA, restarted))
}
