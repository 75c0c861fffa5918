package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// Path is the path of the peer endpoint.
const Path = "/peer"

const (
	// handshakeTimeout bounds the time from dialing to the peer's hello.
	handshakeTimeout = 5 * time.Second
	backoffBase      = 100 * time.Millisecond
	backoffMax       = 5 * time.Second
	// clientBufferBytes is the size of the HTTP buffers of a dialed connection, which hold
	// little more than the upgrade request.
	clientBufferBytes = 1024
)

var errHello = errors.New("peer: unexpected hello")

// dial is a running dial loop.
type dial struct {
	target Target
	cancel context.CancelFunc
}

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

func newClient(stop context.Context, config Config) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:       boundedDial(stop, config.Dial),
		TLSClientConfig:   config.TLS,
		DisableKeepAlives: true,
		ReadBufferSize:    clientBufferBytes,
		WriteBufferSize:   clientBufferBytes,
	}}
}

// boundedDial ends a dial after handshakeTimeout and when stop ends. The HTTP transport
// lets a dial go on after its request was given up, so dials to an address that doesn't
// answer would pile up and outlive the manager.
func boundedDial(stop context.Context, dial dialFunc) dialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		defer context.AfterFunc(stop, cancel)()
		return dial(ctx, network, addr)
	}
}

// SetTargets replaces the planned links. Links that were dialed to former targets are
// closed; links that the other side dialed stay until it closes them.
func (m *Manager) SetTargets(targets []Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.prune(targets)
	wanted := make(map[fleet.InstanceID]Target, len(targets))
	for _, t := range targets {
		if t.Dial && t.ID != m.config.Self.Instance {
			wanted[t.ID] = t
		}
	}
	for id, d := range m.dials {
		if wanted[id] != d.target {
			d.cancel()
			delete(m.dials, id)
		}
	}
	for id, t := range wanted {
		if m.dials[id] == nil {
			m.dials[id] = m.startDial(t)
		}
	}
}

// prune forgets peers that have no link and are no target, since instances with new IDs
// replace old ones all the time. The caller holds m.mu.
func (m *Manager) prune(targets []Target) {
	keep := make(map[fleet.InstanceID]bool, len(targets))
	for _, t := range targets {
		keep[t.ID] = true
	}
	for id, p := range m.peers {
		if keep[id] || !p.change.TryLock() {
			continue
		}
		if p.link.Load() == nil {
			p.pruned = true
			delete(m.peers, id)
		}
		p.change.Unlock()
	}
}

func (m *Manager) startDial(t Target) *dial {
	ctx, cancel := context.WithCancel(m.ctx)
	m.wg.Go(func() { m.dialLoop(ctx, t) })
	return &dial{target: t, cancel: cancel}
}

// dialLoop keeps a link to a target until ctx ends.
func (m *Manager) dialLoop(ctx context.Context, t Target) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if l := m.linkOf(t.ID); l != nil {
			waitDone(ctx, l.done)
		}
		start := m.clock()
		err := m.dialOnce(ctx, t)
		if err != nil && ctx.Err() == nil {
			m.counters.dialErrors.Inc()
		}
		if err == nil && m.clock()-start > backoffMax {
			attempt = 0
		}
		pause(ctx, m.config.Jitter(backoffLimit(attempt)))
	}
}

// backoffLimit returns the longest pause after an attempt. It doubles with each attempt.
func backoffLimit(attempt int) time.Duration {
	if attempt >= 6 { // 0.1 s doubled six times is above 5 s
		return backoffMax
	}
	return min(backoffMax, backoffBase<<attempt)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func waitDone(ctx context.Context, done <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// dialOnce opens a link and serves it until it closes. It returns an error when no link
// was opened.
func (m *Manager) dialOnce(ctx context.Context, t Target) error {
	conn, hello, err := m.dialHandshake(ctx, t)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.CloseNow() })
	defer stop()
	return m.serve(m.newLink(conn, hello, m.config.Self.Instance))
}

func (m *Manager) dialHandshake(ctx context.Context, t Target) (*websocket.Conn, wire.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	scheme := "ws://"
	if m.config.TLS != nil {
		scheme = "wss://"
	}
	options := &websocket.DialOptions{HTTPClient: m.client, HTTPHeader: http.Header{
		"Authorization": {"Bearer " + m.config.Secret},
	}}
	conn, _, err := websocket.Dial(ctx, scheme+t.Addr+Path, options)
	if err != nil {
		return nil, wire.Hello{}, fmt.Errorf("peer: dial %s: %w", t.ID, err)
	}
	hello, err := m.clientHello(ctx, conn, t.ID)
	if err != nil {
		_ = conn.CloseNow()
	}
	return conn, hello, err
}

// clientHello sends the own hello and then reads the peer's.
func (m *Manager) clientHello(ctx context.Context, conn *websocket.Conn, id fleet.InstanceID) (wire.Hello, error) {
	if err := m.sendHello(ctx, conn, true); err != nil {
		return wire.Hello{}, err
	}
	hello, err := m.readHello(ctx, conn, false)
	if err == nil && hello.Instance != id {
		// The address was given to another instance.
		err = fmt.Errorf("%w: %s answered for %s", errHello, hello.Instance, id)
	}
	return hello, err
}

// serve runs a link after its handshake. It returns an error when the link is refused.
func (m *Manager) serve(l *link) error {
	if !m.register(l) {
		_ = l.conn.CloseNow()
		return fmt.Errorf("peer: link to %s is superseded", l.hello.Instance)
	}
	l.run()
	m.unregister(l)
	return nil
}

// Handler returns the handler of Path. Requests without the fleet's secret get 401.
func (m *Manager) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, m.accept)
	return mux
}

func (m *Manager) accept(w http.ResponseWriter, r *http.Request) {
	if m.config.Secret != "" && !sameSecret(r.Header.Get("Authorization"), "Bearer "+m.config.Secret) {
		m.counters.badSecret.Inc()
		http.Error(w, "unauthorized", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.closed {
		_ = conn.CloseNow()
		return
	}
	// The handler returns, which frees the goroutine and buffers of the HTTP server.
	m.wg.Go(func() { m.serveAccepted(conn) })
}

func (m *Manager) serveAccepted(conn *websocket.Conn) {
	hello, err := m.serverHello(conn)
	if err != nil {
		m.counters.refused.Inc()
		_ = conn.CloseNow()
		return
	}
	_ = m.serve(m.newLink(conn, hello, hello.Instance))
}

// serverHello reads the dialing peer's hello and then sends the own.
func (m *Manager) serverHello(conn *websocket.Conn) (wire.Hello, error) {
	ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout)
	defer cancel()
	hello, err := m.readHello(ctx, conn, true)
	if err != nil {
		return hello, err
	}
	return hello, m.sendHello(ctx, conn, false)
}

// sameSecret compares digests, so that the time tells neither content nor length.
func sameSecret(got, want string) bool {
	a, b := sha256.Sum256([]byte(got)), sha256.Sum256([]byte(want))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

func (m *Manager) sendHello(ctx context.Context, conn *websocket.Conn, dialed bool) error {
	frame, err := wire.Append(nil, &m.config.Self)
	if err != nil {
		return err
	}
	overhead := headerBytes(len(frame), dialed)
	m.budget.charge(m.clock(), len(frame)+overhead)
	m.counters.frame(sent, overhead)
	m.counters.message(sent, wire.KindHello, len(frame))
	return conn.Write(ctx, websocket.MessageBinary, frame)
}

func (m *Manager) readHello(ctx context.Context, conn *websocket.Conn, masked bool) (wire.Hello, error) {
	conn.SetReadLimit(wire.MaxFrameBytes)
	_, frame, err := conn.Read(ctx)
	if err != nil {
		return wire.Hello{}, err
	}
	m.counters.frame(received, headerBytes(len(frame), masked))
	m.counters.message(received, wire.KindHello, len(frame))
	messages, err := wire.Decode(frame)
	if err != nil {
		return wire.Hello{}, err
	}
	if len(messages) == 0 {
		return wire.Hello{}, errHello
	}
	hello, ok := messages[0].(*wire.Hello)
	if !ok || hello.Instance == "" || hello.Instance == m.config.Self.Instance {
		return wire.Hello{}, errHello
	}
	return *hello, nil
}
