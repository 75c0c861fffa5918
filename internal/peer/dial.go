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
	// handshakeTimeout is the longest time from dialing to the peer's hello.
	handshakeTimeout = 5 * time.Second
	backoffBase      = 100 * time.Millisecond
	backoffMax       = 5 * time.Second
	// clientBufferBytes is the size of the HTTP buffers of a dialed connection. They hold
	// little more than the upgrade request.
	clientBufferBytes = 1024
)

// errUnexpectedHello reports a first message that is no hello, or a hello of the wrong instance.
var errUnexpectedHello = errors.New("peer: unexpected hello")

// dialTask is a running dialLoop.
type dialTask struct {
	target Target
	cancel context.CancelFunc
}

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

func newHTTPClient(stop context.Context, config Config) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:       dialWithTimeout(stop, config.Dial),
		TLSClientConfig:   config.TLS,
		DisableKeepAlives: true,
		ReadBufferSize:    clientBufferBytes,
		WriteBufferSize:   clientBufferBytes,
	}}
}

// dialWithTimeout returns dial with a limit: a call ends after handshakeTimeout or when stop ends.
// The HTTP transport continues a dial after its request was canceled, so without the limit dials
// to an address that doesn't answer would pile up and outlive the manager.
func dialWithTimeout(stop context.Context, dial dialFunc) dialFunc {
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

// SetTargets replaces the planned links. It closes links that this side dialed to former targets.
// Links that the other side dialed stay open until that side closes them.
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

// prune removes the state of peers that have no link and are no target. Without it the state would
// grow, because instances are continually replaced by others with new IDs. The caller holds m.mu.
func (m *Manager) prune(targets []Target) {
	keep := make(map[fleet.InstanceID]bool, len(targets))
	for _, t := range targets {
		keep[t.ID] = true
	}
	for id, p := range m.peers {
		if keep[id] || !p.changeMu.TryLock() {
			continue
		}
		if p.link.Load() == nil {
			p.pruned = true
			delete(m.peers, id)
		}
		p.changeMu.Unlock()
	}
}

// startDial runs dialLoop for a target in a new goroutine.
func (m *Manager) startDial(t Target) *dialTask {
	ctx, cancel := context.WithCancel(m.ctx)
	m.wg.Go(func() { m.dialLoop(ctx, t) })
	return &dialTask{target: t, cancel: cancel}
}

// dialLoop keeps a link to a target open until ctx ends, and dials again when it closes.
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
		sleep(ctx, m.config.Jitter(backoffLimit(attempt)))
	}
}

// backoffLimit returns the longest pause after an attempt. It doubles with each attempt, up to
// backoffMax.
func backoffLimit(attempt int) time.Duration {
	if attempt >= 6 { // backoffBase, 0.1 s, doubled six times is above backoffMax, 5 s
		return backoffMax
	}
	return min(backoffMax, backoffBase<<attempt)
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// waitDone returns when done is closed or ctx ends.
func waitDone(ctx context.Context, done <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// dialOnce opens a link and serves it until it closes. It returns an error if no link
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

// dialHandshake connects to a target and exchanges hello messages with it.
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

// clientHello sends this instance's hello, then reads the peer's.
func (m *Manager) clientHello(ctx context.Context, conn *websocket.Conn, id fleet.InstanceID) (wire.Hello, error) {
	if err := m.sendHello(ctx, conn, true); err != nil {
		return wire.Hello{}, err
	}
	hello, err := m.readHello(ctx, conn, false)
	if err == nil && hello.Instance != id {
		// The address now belongs to another instance.
		err = fmt.Errorf("%w: instance %s answered at the address of %s", errUnexpectedHello, hello.Instance, id)
	}
	return hello, err
}

// serve runs a link after its handshake until it closes. It returns an error if the link is refused.
func (m *Manager) serve(l *link) error {
	if !m.register(l) {
		_ = l.conn.CloseNow()
		return fmt.Errorf("peer: link to %s refused: another link is preferred", l.hello.Instance)
	}
	l.run()
	m.unregister(l)
	return nil
}

// Handler returns the handler of Path. It answers requests without the fleet's secret with status 401.
func (m *Manager) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, m.accept)
	return mux
}

// accept upgrades a request and serves the link in a goroutine of its own.
func (m *Manager) accept(w http.ResponseWriter, r *http.Request) {
	if !HasSecret(r, m.config.Secret) {
		m.counters.refusedSecret.Inc()
		http.Error(w, "unauthorized", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(hijackedWriter{w}, r, nil)
	if err != nil {
		return
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.closed {
		_ = conn.CloseNow()
		return
	}
	// Serving in a separate goroutine lets the handler return, which frees the goroutine and
	// buffers of the HTTP server.
	m.wg.Go(func() { m.serveAccepted(conn) })
}

func (m *Manager) serveAccepted(conn *websocket.Conn) {
	hello, err := m.serverHello(conn)
	if err != nil {
		m.counters.refusedHello.Inc()
		_ = conn.CloseNow()
		return
	}
	_ = m.serve(m.newLink(conn, hello, hello.Instance))
}

// serverHello reads the dialing peer's hello, then sends this instance's.
func (m *Manager) serverHello(conn *websocket.Conn) (wire.Hello, error) {
	ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout)
	defer cancel()
	hello, err := m.readHello(ctx, conn, true)
	if err != nil {
		return hello, err
	}
	return hello, m.sendHello(ctx, conn, false)
}

// HasSecret reports whether a request bears the fleet's secret. An empty secret admits every request.
func HasSecret(r *http.Request, secret string) bool {
	return secret == "" || sameSecret(r.Header.Get("Authorization"), "Bearer "+secret)
}

// sameSecret compares digests in constant time, so that the time reveals neither the content nor the
// length of the secret.
func sameSecret(got, want string) bool {
	a, b := sha256.Sum256([]byte(got)), sha256.Sum256([]byte(want))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

// sendHello sends this instance's hello as the first frame of a connection. The frame is masked if
// this side dialed.
func (m *Manager) sendHello(ctx context.Context, conn *websocket.Conn, dialed bool) error {
	frame, err := wire.Append(nil, &m.config.Self)
	if err != nil {
		return err
	}
	overhead := headerBytes(len(frame), dialed)
	m.budget.charge(m.clock(), len(frame)+overhead)
	m.counters.countFrame(sent, overhead)
	m.counters.countMessage(sent, wire.KindHello, len(frame))
	return conn.Write(ctx, websocket.MessageBinary, frame)
}

// readHello reads the first frame of a connection, which must hold the hello of another instance.
// masked states whether the peer masks its frames.
func (m *Manager) readHello(ctx context.Context, conn *websocket.Conn, masked bool) (wire.Hello, error) {
	conn.SetReadLimit(wire.MaxFrameBytes)
	_, frame, err := conn.Read(ctx)
	if err != nil {
		return wire.Hello{}, err
	}
	m.counters.countFrame(received, headerBytes(len(frame), masked))
	m.counters.countMessage(received, wire.KindHello, len(frame))
	messages, err := wire.Decode(frame)
	if err != nil {
		return wire.Hello{}, err
	}
	if len(messages) == 0 {
		return wire.Hello{}, errUnexpectedHello
	}
	hello, ok := messages[0].(*wire.Hello)
	if !ok || hello.Instance == "" || hello.Instance == m.config.Self.Instance {
		return wire.Hello{}, errUnexpectedHello
	}
	return *hello, nil
}
