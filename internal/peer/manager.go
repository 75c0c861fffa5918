// Package peer keeps the links between instances: WebSocket connections that carry the
// messages of package wire.
//
// A Manager dials its targets, accepts links of others, batches queued messages into
// frames, serves them by class within the process's byte budget, and replaces links that
// went silent. It decides nothing about membership.
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
	silentIntervals = 3
	minSilence      = 3 * time.Second
)

// Config configures a Manager. Callbacks of one peer are called one at a time, those of
// different peers concurrently. They must return quickly and must not call Close.
type Config struct {
	// Self is sent as the first message of each link.
	Self wire.Hello
	// Secret is the fleet's secret, required of both sides. Empty accepts every peer, for
	// networks that are closed to others.
	Secret string
	// Budget is the number of control bytes per second, DefaultBudget if zero.
	Budget int
	// Interval is the heartbeat interval until SetInterval is called, 1 s if zero.
	Interval time.Duration
	// TLS, if set, is used for dialing. The listener that serves Handler brings its own.
	TLS *tls.Config
	// Dial opens connections, net.Dialer.DialContext if nil.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Clock returns the monotonic time since process start; time since New if nil.
	Clock func() time.Duration
	// Jitter returns the pause before a dial, given its limit. It is uniform between zero
	// and the limit if nil.
	Jitter func(limit time.Duration) time.Duration
	// Metrics receives the manager's metrics, a new set if nil.
	Metrics *metrics.Set

	// Stamp returns the logical time that is sent with each frame, and OnStamp is called with
	// that of a received frame before its messages. Both may be nil.
	Stamp   func() uint64
	OnStamp func(stamp uint64)
	// OnMessage is called for each message except hello and stamps.
	OnMessage func(from fleet.InstanceID, incarnation uint64, m wire.Message)
	// OnUp is called when a link is open, before its first OnMessage. State that is sent
	// as changes must be sent in full again.
	OnUp func(hello wire.Hello)
	// OnDown is called when a link closed, also before OnUp of the link that replaces it.
	OnDown func(instance fleet.InstanceID, incarnation uint64)
}

// Target is an instance to which a link is planned.
type Target struct {
	ID   fleet.InstanceID
	Addr string
	// Dial tells that this side opens the connection.
	Dial bool
}

// Manager keeps the links of one process. Its methods are safe for concurrent use.
type Manager struct {
	config   Config
	clock    func() time.Duration
	interval atomic.Int64
	budget   *budget
	bulk     atomic.Int64
	counters *counters
	client   *http.Client

	ctx    context.Context
	cancel context.CancelFunc
	// wg is the standard one: conc would hold the panic of a callback back until Close, and
	// the process would run on with links that nobody serves.
	wg sync.WaitGroup

	mu     sync.RWMutex
	closed bool
	peers  map[fleet.InstanceID]*peer
	dials  map[fleet.InstanceID]*dial
}

// peer is the state of one remote instance.
type peer struct {
	// change is held while the link is replaced, callbacks included.
	change sync.Mutex
	link   atomic.Pointer[link]
	wasUp  bool
	// pruned tells that the manager dropped this state and a new one has to be used.
	pruned bool
}

// New returns a Manager without targets. Close ends it.
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
		clock:    clockOf(config),
		budget:   newBudget(config.Budget),
		counters: newCounters(config.Metrics),
		peers:    map[fleet.InstanceID]*peer{},
		dials:    map[fleet.InstanceID]*dial{},
	}
	m.interval.Store(int64(config.Interval))
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.client = newClient(m.ctx, config)
	config.Metrics.GetOrCreateGauge("bilberry_peer_links", func() float64 { return float64(len(m.Up())) })
	return m
}

func clockOf(config Config) func() time.Duration {
	if config.Clock != nil {
		return config.Clock
	}
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// SetInterval sets the heartbeat interval. A link that is silent for three intervals, at
// least 3 s, is closed.
func (m *Manager) SetInterval(interval time.Duration) {
	m.interval.Store(int64(interval))
}

func (m *Manager) silence() time.Duration {
	return max(minSilence, silentIntervals*time.Duration(m.interval.Load()))
}

// Metrics returns the set that holds the manager's metrics.
func (m *Manager) Metrics() *metrics.Set { return m.config.Metrics }

// Up returns the instances with an open link, in no order.
func (m *Manager) Up() []fleet.InstanceID {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var up []fleet.InstanceID
	for id, p := range m.peers {
		if p.link.Load() != nil {
			up = append(up, id)
		}
	}
	return up
}

// Send queues a message for an instance. It never blocks. It is false when the message is
// dropped: no link, a full queue, or a message over wire.MaxFrameBytes. A message that was
// queued is still lost when its link closes; OnDown tells.
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
// links that took it. The message is encoded once.
func (m *Manager) SendAll(message wire.Message) int { return m.SendTo(m.Up(), message) }

// SendTo queues a message for several instances and returns the number of links that took it. The
// message is encoded once.
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

func (m *Manager) encode(message wire.Message) (packet, bool) {
	data, err := wire.Append(nil, message)
	if err != nil || len(data) > wire.MaxFrameBytes {
		m.counters.drops[classOf(message.Kind())].Inc()
		return packet{}, false
	}
	return packet{kind: message.Kind(), data: data}, true
}

func (m *Manager) sendOn(l *link, p packet) bool {
	if l.send(p) {
		return true
	}
	m.counters.drops[classOf(p.kind)].Inc()
	return false
}

func (m *Manager) linkOf(id fleet.InstanceID) *link {
	m.mu.RLock()
	p := m.peers[id]
	m.mu.RUnlock()
	if p == nil {
		return nil
	}
	return p.link.Load()
}

// lockPeer returns the state of an instance, created if needed, with change held.
func (m *Manager) lockPeer(id fleet.InstanceID) *peer {
	for {
		p := m.peerOf(id)
		p.change.Lock()
		if !p.pruned {
			return p
		}
		p.change.Unlock()
	}
}

func (m *Manager) peerOf(id fleet.InstanceID) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[id]
	if p == nil {
		p = &peer{}
		m.peers[id] = p
	}
	return p
}

// register makes l the link to its peer, unless the present link is to be kept.
func (m *Manager) register(l *link) bool {
	p := m.lockPeer(l.hello.Instance)
	defer p.change.Unlock()
	if m.ctx.Err() != nil {
		return false
	}
	if old := p.link.Load(); old != nil {
		if keeps(old, l) {
			return false
		}
		m.counters.replaced.Inc()
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

// keeps tells whether the present link is kept when another one opens. Both sides decide
// alike: a newer incarnation wins; of two links of the same incarnations the one dialed by
// the smaller ID wins; of two links dialed by the same side the later one wins, because
// its dialer gave up the earlier.
func keeps(present, other *link) bool {
	if present.hello.Incarnation != other.hello.Incarnation {
		return present.hello.Incarnation > other.hello.Incarnation
	}
	return present.dialer < other.dialer
}

// unregister takes a closed link down, unless it was replaced before.
func (m *Manager) unregister(l *link) {
	p := m.lockPeer(l.hello.Instance)
	defer p.change.Unlock()
	if p.link.Load() == l {
		m.takeDown(p, l)
	}
}

func (m *Manager) takeDown(p *peer, l *link) {
	p.link.Store(nil)
	close(l.done)
	for c, dropped := range l.outbox.close() {
		m.counters.drops[c].Add(dropped)
	}
	klog.V(1).InfoS("Peer link down", "peer", l.hello.Instance, "incarnation", l.hello.Incarnation)
	l.deliver.Lock()
	l.down = true
	l.deliver.Unlock()
	if m.config.OnDown != nil {
		m.config.OnDown(l.hello.Instance, l.hello.Incarnation)
	}
	// Closing waits for a blocked reader, which may be in a callback; it must not hold up the caller.
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
		p.change.Lock()
		if l := p.link.Load(); l != nil {
			m.takeDown(p, l)
		}
		p.change.Unlock()
	}
	m.wg.Wait()
}
