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

// network connects managers by in-memory pipes. Addresses are instance IDs.
type network struct {
	mu        sync.Mutex
	listeners map[string]chan net.Conn
	cut       *atomic.Bool
}

func newNetwork() *network {
	return &network{listeners: map[string]chan net.Conn{}, cut: new(atomic.Bool)}
}

// silence makes all open connections swallow what is written. New connections work.
func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut.Store(true)
	n.cut = new(atomic.Bool)
}

type pipe struct {
	net.Conn
	cut *atomic.Bool
}

func (p pipe) Write(b []byte) (int, error) {
	if p.cut.Load() {
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
	cut, listener := n.cut, n.listeners[host]
	n.mu.Unlock()
	client, server := net.Pipe()
	select {
	case listener <- pipe{server, cut}:
		return pipe{client, cut}, nil
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

// node is a manager with its listener and a log of its callbacks.
type node struct {
	*Manager
	server *http.Server
	mu     sync.Mutex
	log    []string
}

func (n *node) note(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log = append(n.log, fmt.Sprintf(format, args...))
}

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

func start(nw *network, id string, incarnation uint64) *node {
	n := &node{}
	n.Manager = New(Config{
		Self:   wire.Hello{Instance: fleet.InstanceID(id), Incarnation: incarnation},
		Secret: "s", Dial: nw.dial,
		// Without jitter both sides of a simultaneous dial keep step, which is the worst case.
		Jitter:    func(limit time.Duration) time.Duration { return limit },
		OnUp:      func(h wire.Hello) { n.note("up-%s-%d", h.Instance, h.Incarnation) },
		OnDown:    func(i fleet.InstanceID, inc uint64) { n.note("down-%s-%d", i, inc) },
		OnMessage: func(i fleet.InstanceID, inc uint64, m wire.Message) { n.note("%s-%s-%d", m.Kind(), i, inc) },
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

// beat sends heartbeats on all links once per second.
func beat(seconds int, nodes ...*node) {
	for range seconds {
		for _, n := range nodes {
			n.SendAll(&wire.Heartbeat{Sequence: 1})
		}
		time.Sleep(time.Second)
	}
}

// Guards against links without the fleet's secret.
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

// Guards against a half-open connection that is kept, and messages lost after its replacement.
func TestSilentLinkIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		a, b := start(nw, "a", 1), start(nw, "b", 2)
		defer a.stop()
		defer b.stop()
		a.SetTargets(target("b"))
		require.Equal(t, "up-b-2", a.events())
		require.Equal(t, "up-a-1", b.events())
		beat(10, a, b)
		require.Equal(t, strings.TrimSpace(strings.Repeat("heartbeat-b-2 ", 10)), a.events())
		b.events()
		nw.silence()
		beat(4, a, b)
		require.True(t, strings.HasPrefix(a.events(), "down-b-2 up-b-2"))
		require.True(t, strings.HasPrefix(b.events(), "down-a-1 up-a-1"))
		require.True(t, b.Send("a", &wire.Release{Attempt: 1}))
		require.Equal(t, "release-b-2", a.events())
	})
}

// Guards against two links, or none, when both sides dial at once.
func TestSimultaneousDials(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			nw := newNetwork()
			a, b := start(nw, "a", 1), start(nw, "b", uint64(seed))
			defer a.stop()
			defer b.stop()
			a.SetTargets(target("b"))
			b.SetTargets(target("a"))
			beat(20, a, b)
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

// Guards against a message to several instances that counts those without a link as reached, or that
// stops at the first of them.
func TestSendToSkipsInstancesWithoutALink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		a, b := start(nw, "a", 1), start(nw, "b", 2)
		defer a.stop()
		defer b.stop()
		a.SetTargets(target("b"))
		b.SetTargets(target("a"))
		beat(20, a, b)
		a.events()
		b.events()
		require.Equal(t, 1, a.SendTo([]fleet.InstanceID{"c", "b"}, &wire.Release{}))
		beat(1, a, b)
		require.Contains(t, b.events(), "release-a-1")
		require.Zero(t, a.SendTo([]fleet.InstanceID{"c"}, &wire.Release{}))
	})
}

// Guards against a restarted peer that is kept out by the link of its former incarnation,
// and against a late link of that incarnation.
func TestNewIncarnationReplacesLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		a, old, renewed := start(nw, "a", 1), start(nw, "b", 5), start(nw, "b", 6)
		defer a.stop()
		defer old.stop()
		defer renewed.stop()
		old.SetTargets(target("a"))
		require.Equal(t, "up-b-5", a.events())
		former := a.linkOf("b")
		renewed.SetTargets(target("a"))
		require.Equal(t, "down-b-5 up-b-6", a.events())
		former.dispatch(&wire.Release{})
		beat(2, a, renewed)
		require.NotContains(t, a.events(), "b-5")
	})
}

// Guards against a delay of single messages and of admission messages, for which callers
// wait, and against a frame for each message of a burst.
func TestMessagesShareFrames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		a, b := start(nw, "a", 1), start(nw, "b", 2)
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
		time.Sleep(batchWindow)
		require.Equal(t, 50, strings.Count(b.events(), "release-a"))
		require.Equal(t, batchWindow, time.Since(begin))
		require.Equal(t, frames+2, a.counters.frames[sent].Get())
		burst()
		require.True(t, a.Send("b", &wire.Admit{}))
		events := b.events()
		require.Equal(t, 50, strings.Count(events, "release-a"))
		require.Contains(t, events, "admit-a-1")
		require.Equal(t, batchWindow, time.Since(begin))
		require.Equal(t, frames+3, a.counters.frames[sent].Get())
	})
}

// Guards against links to instances that left the plan.
func TestFormerTargetIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		a, b := start(nw, "a", 1), start(nw, "b", 2)
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

// Guards against control traffic above the budget, heartbeats starved by configuration,
// and admission messages delayed by either.
func TestBudgetIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		a, b := start(nw, "a", 1), start(nw, "b", 2)
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
		for kind := range wire.Kind(maxKind) {
			bytes += a.counters.bytes[sent][kind].Get()
		}
		bytes += a.counters.overhead[sent].Get()
		configuration := a.counters.bytes[sent][wire.KindBlob].Get()
		t.Logf("sent %d bytes in %d s, %d of them configuration", bytes, seconds, configuration)
		require.Less(t, bytes, uint64(DefaultBudget*(seconds+burstSeconds)))
		require.Greater(t, configuration, uint64(DefaultBudget*seconds/6))
	})
}

// Guards against low classes sent ahead of high ones, and bulk bytes that are not released.
func TestClassesAreOrdered(t *testing.T) {
	var bulk atomic.Int64
	box := outbox{bulk: &bulk}
	order := []wire.Kind{0, wire.KindHeartbeat, wire.KindBlob, wire.KindStrike, wire.KindClaimReply, wire.KindAdmit}
	for _, kind := range order {
		require.True(t, box.push(packet{kind: kind, data: []byte{byte(kind)}}))
	}
	require.Equal(t, int64(2), bulk.Load())
	frame, wait := box.collect(nil, 0, newBudget(DefaultBudget), func(packet) {})
	require.Zero(t, wait)
	for i, kind := range frame {
		require.Equal(t, order[len(order)-1-i], wire.Kind(kind))
	}
	require.Zero(t, bulk.Load())
}

// Guards against two sides that keep different links of a simultaneous dial: the choice
// must not depend on the order in which a side sees the links.
func TestChoiceOfLinkIsSymmetric(t *testing.T) {
	byA, byB := &link{dialer: "a"}, &link{dialer: "b"}
	require.True(t, keeps(byA, byB))
	require.False(t, keeps(byB, byA))
	require.False(t, keeps(byA, byA))
	renewed := &link{dialer: "b", hello: wire.Hello{Incarnation: 1}}
	require.True(t, keeps(renewed, byA))
	require.False(t, keeps(byA, renewed))
}
