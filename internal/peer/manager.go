// Package peer keeps the links between instances: WebSocket connections that carry the
// messages of package wire.
//
// A Manager dials its targets, accepts connections of other instances, and keeps at most one link
// to each. It batches queued messages into frames, sends them in order of priority class within
// the byte budget of the process, and replaces links on which nothing arrives any more. Messages
// of one peer are delivered one at a time; queued messages are lost when their link closes. The
// caller decides which instances to link to.
package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// A link is closed after silentIntervals heartbeat intervals without data, but not before
	// minSilence.
	silentIntervals = 3
	minSilence      = 3 * time.Second
)

// Config configures a Manager. Callbacks of one peer are called one at a time, those of
// different peers concurrently. They must return quickly and must not call Close.
type Config struct {
	// Self is sent as the first message of each link.
	Self wire.Hello
	// Secret is the fleet's secret, which the accepting side requires of the dialing side. If
	// empty, every peer is accepted, which suits networks that are closed to others.
	Secret string
	// Budget is the limit of control bytes per second, DefaultBudget if zero.
	Budget int
	// Interval is the heartbeat interval until SetInterval is called, 1 s if zero.
	Interval time.Duration
	// TLS, if set, is used for dialing. The listener that serves Handler is configured separately.
	TLS *tls.Config
	// Dial opens connections, net.Dialer.DialContext if nil.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Clock returns the monotonic time since process start. If nil, the time since New is used.
	Clock func() time.Duration
	// Jitter returns the pause before a dial, given the upper limit. If nil, the pause is
	// uniformly random between zero and the limit.
	Jitter func(limit time.Duration) time.Duration
	// Metrics is the set to which the manager's metrics are added, a new set if nil.
	Metrics *metrics.Set

	// Stamp returns the logical time that is sent with each frame. OnStamp is called with the
	// logical time of a received frame, before OnMessage for its messages. Both may be nil.
	Stamp   func() uint64
	OnStamp func(stamp uint64)
	// OnMessage is called for each message except hello and stamps.
	OnMessage func(from fleet.InstanceID, incarnation uint64, m wire.Message)
	// OnUp is called when a link is open, before its first OnMessage. State that is otherwise
	// sent as changes must then be sent in full.
	OnUp func(hello wire.Hello)
	// OnDown is called when a link has closed. If another link replaces it, OnDown is called
	// before OnUp of the new link.
	OnDown func(instance fleet.InstanceID, incarnation uint64)
}

// Target is an instance to which a link is planned.
type Target struct {
	ID   fleet.InstanceID
	Addr string
	// Dial is set if this side opens the connection.
	Dial bool
}

// Manager keeps the links of one process. Its methods are safe for concurrent use.
type Manager struct {
	config   Config
	clock    func() time.Duration
	interval atomic.Int64
	budget   *budget
	// bulkBytes counts the bytes of the bulk messages that are queued on all links; see maxBulkBytes.
	bulkBytes atomic.Int64
	counters  *counters
	client    *http.Client

	ctx    context.Context
	cancel context.CancelFunc
	// wg is a sync.WaitGroup and not one of package conc, which would hold back the panic of a
	// callback until Close: the process would continue with links that no goroutine serves.
	wg sync.WaitGroup

	mu     sync.RWMutex
	closed bool
	peers  map[fleet.InstanceID]*peer
	dials  map[fleet.InstanceID]*dialTask
}

// peer is the state of one remote instance.
type peer struct {
	// changeMu is held while the link is replaced, including the callbacks OnUp and OnDown.
	changeMu sync.Mutex
	link     atomic.Pointer[link]
	// wasUp is set when the first link opens. Links that open later count as reconnects.
	wasUp bool
	// pruned is set when the manager has removed this state, so that a new one must be created.
	pruned bool
}

// New returns a Manager without targets. It must be closed with Close.
func New(config Config) *Manager {
	if config.Budget <= 0 {
		config.Budget = DefaultBudget
	}
	if config.Interval <= 0 {
		config.Interval = time.Second
	}
	if config.Jitter == nil {
		config.Jitter = rand.N[time.Duration]
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	m := &Manager{
		config:   config,
		clock:    clockOrDefault(config),
		budget:   newBudget(config.Budget),
		counters: newCounters(config.Metrics),
		peers:    map[fleet.InstanceID]*peer{},
		dials:    map[fleet.InstanceID]*dialTask{},
	}
	m.interval.Store(int64(config.Interval))
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.client = newHTTPClient(m.ctx, config)
	config.Metrics.GetOrCreateGauge("bilberry_peer_links", func() float64 { return float64(len(m.Linked())) })
	return m
}

func clockOrDefault(config Config) func() time.Duration {
	if config.Clock != nil {
		return config.Clock
	}
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// SetInterval sets the heartbeat interval. A link on which nothing arrives for three intervals, or
// for 3 s if that is longer, is closed.
func (m *Manager) SetInterval(interval time.Duration) {
	m.interval.Store(int64(interval))
}

// SetSilenceLimit sets the time without received data after which a link is closed, in place of SetInterval. It is at
// least minSilence.
func (m *Manager) SetSilenceLimit(limit time.Duration) {
	m.interval.Store(int64(limit / silentIntervals))
}

// SilenceLimit returns the time without received data after which a link is closed.
func (m *Manager) SilenceLimit() time.Duration {
	return max(minSilence, silentIntervals*time.Duration(m.interval.Load()))
}

// Metrics returns the set that holds the manager's metrics.
func (m *Manager) Metrics() *metrics.Set { return m.config.Metrics }

// Linked returns the instances with an open link, in no particular order.
func (m *Manager) Linked() []fleet.InstanceID {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var linked []fleet.InstanceID
	for id, p := range m.peers {
		if p.link.Load() != nil {
			linked = append(linked, id)
		}
	}
	return linked
}

// Send queues a message for an instance. It never blocks. It returns false if the message is
// dropped because there is no link, the queue is full, or the message is larger than
// wire.MaxFrameBytes. A queued message is lost if its link closes before it is sent; OnDown
// reports that the link closed.
func (m *Manager) Send(to fleet.InstanceID, message wire.Message) bool {
	l := m.linkOf(to)
	if l == nil {
		m.counters.drops[classOf(message.Kind())].Inc()
		return false
	}
	p, ok := m.encode(message)
	return ok && m.sendOn(l, p)
}

// SendAll queues a message for every instance with an open link and returns the number of
// links on which it was queued. The message is encoded once.
func (m *Manager) SendAll(message wire.Message) int { return m.SendTo(m.Linked(), message) }

// SendTo queues a message for several instances and returns the number of links on which it was
// queued. The message is encoded once.
func (m *Manager) SendTo(to []fleet.InstanceID, message wire.Message) int {
	p, ok := m.encode(message)
	if !ok {
		return 0
	}
	count := 0
	for _, id := range to {
		l := m.linkOf(id)
		switch {
		case l == nil:
			m.counters.drops[classOf(p.kind)].Inc()
		case m.sendOn(l, p):
			count++
		}
	}
	return count
}

// encode returns an encoded message, or false if it is dropped because it can't be encoded or is
// too large.
func (m *Manager) encode(message wire.Message) (packet, bool) {
	data, err := wire.Append(nil, message)
	if err != nil || len(data) > wire.MaxFrameBytes {
		m.counters.drops[classOf(message.Kind())].Inc()
		return packet{}, false
	}
	return packet{kind: message.Kind(), data: data}, true
}

// sendOn queues a packet on a link and counts it as dropped if that fails.
func (m *Manager) sendOn(l *link, p packet) bool {
	if l.send(p) {
		return true
	}
	m.counters.drops[classOf(p.kind)].Inc()
	return false
}

// linkOf returns the open link to an instance, or nil.
func (m *Manager) linkOf(id fleet.InstanceID) *link {
	m.mu.RLock()
	p := m.peers[id]
	m.mu.RUnlock()
	if p == nil {
		return nil
	}
	return p.link.Load()
}

// lockPeer returns the state of an instance with changeMu held. It creates the state if needed.
func (m *Manager) lockPeer(id fleet.InstanceID) *peer {
	for {
		p := m.getOrCreatePeer(id)
		p.changeMu.Lock()
		if !p.pruned {
			return p
		}
		p.changeMu.Unlock()
	}
}

func (m *Manager) getOrCreatePeer(id fleet.InstanceID) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[id]
	if p == nil {
		p = &peer{}
		m.peers[id] = p
	}
	return p
}

// register makes l the link to its peer. It returns false if the present link is kept instead or
// the manager is closed.
func (m *Manager) register(l *link) bool {
	p := m.lockPeer(l.hello.Instance)
	defer p.changeMu.Unlock()
	if m.ctx.Err() != nil {
		return false
	}
	if old := p.link.Load(); old != nil {
		if keepsPresent(old, l) {
			return false
		}
		m.counters.closedReplaced.Inc()
		m.takeDown(p, old)
	}
	if p.wasUp {
		m.counters.reconnects.Inc()
	}
	p.wasUp = true
	p.link.Store(l)
	klog.V(1).InfoS("Peer link up", "peer", l.hello.Instance, "incarnation", l.hello.Incarnation)
	if m.config.OnUp != nil {
		m.config.OnUp(l.hello)
	}
	return true
}

// keepsPresent reports whether the present link is kept when another one opens. Both sides come to
// the same decision. They keep the link of the newer incarnation. Of two links of the same
// incarnations they keep the one dialed by the instance with the smaller ID, and of two links dialed
// by the same side the later one, because that side dials again only after it has dropped the
// earlier one.
func keepsPresent(present, other *link) bool {
	if present.hello.Incarnation != other.hello.Incarnation {
		return present.hello.Incarnation > other.hello.Incarnation
	}
	return present.dialer < other.dialer
}

// unregister removes a closed link, unless another link has replaced it already.
func (m *Manager) unregister(l *link) {
	p := m.lockPeer(l.hello.Instance)
	defer p.changeMu.Unlock()
	if p.link.Load() == l {
		m.takeDown(p, l)
	}
}

// takeDown removes the link of a peer, drops its queued messages and calls OnDown. The caller holds
// p.changeMu.
func (m *Manager) takeDown(p *peer, l *link) {
	p.link.Store(nil)
	close(l.done)
	for c, dropped := range l.outbox.close() {
		m.counters.drops[c].Add(dropped)
	}
	klog.V(1).InfoS("Peer link down", "peer", l.hello.Instance, "incarnation", l.hello.Incarnation)
	l.deliverMu.Lock()
	l.down = true
	l.deliverMu.Unlock()
	if m.config.OnDown != nil {
		m.config.OnDown(l.hello.Instance, l.hello.Incarnation)
	}
	// CloseNow waits for the reader, which may be blocked in a callback. A separate goroutine keeps
	// the caller from waiting too.
	m.wg.Go(func() { _ = l.conn.CloseNow() })
}

// Close closes all links and waits for their goroutines. Queued messages are lost.
func (m *Manager) Close() {
	m.SetTargets(nil)
	m.mu.Lock()
	m.closed = true
	m.cancel()
	peers := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		peers = append(peers, p)
	}
	m.mu.Unlock()
	for _, p := range peers {
		p.changeMu.Lock()
		if l := p.link.Load(); l != nil {
			m.takeDown(p, l)
		}
		p.changeMu.Unlock()
	}
	m.wg.Wait()
}
