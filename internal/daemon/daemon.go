// Package daemon runs an instance of the router and performs all of its I/O. The decisions are
// made by the reducer of package core: the daemon turns HTTP requests, peer messages, timers and
// replies of the store and the engines into events of the reducer and carries out the effects
// that the reducer returns. The doc of package core describes the roles of an instance, such as
// home of an engine and duty holder.
//
// The reducer runs on one goroutine that handles one event at a time and never waits for I/O.
// The forwarding of a request runs on the goroutine of its HTTP handler.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/httputil"
	"github.com/bilberrywell/bilberrywell/internal/peer"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/settings"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// tickInterval is the resolution of the reducer's timers. It has to be finer than the 20 ms that
// a batch of claims waits for more claims.
const tickInterval = 10 * time.Millisecond

// Daemon is one running instance.
type Daemon struct {
	settings    settings.Settings
	release     string
	incarnation uint64
	// ctx ends the goroutines of tasks. cancel ends it when the daemon stops.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup

	loop *loop
	// requests holds the callers' open requests.
	requests  *requestRegistry
	upstreams *upstreams
	engines   *engineClient
	store     platform.RecordStore
	directory platform.Directory
	presence  *presence
	peers     *peer.Manager
	metrics   *daemonMetrics
	events    *eventLog
	// controlRate is the rate of control bytes: those sent to peers, to the store and to the control
	// interface of engines. Callers' requests are not counted.
	controlRate *byteRate

	// snapshot, version and publishID are those of the configuration in force. They are written
	// by the reducer's goroutine and may be read by others.
	snapshot  atomic.Pointer[config.Snapshot]
	version   atomic.Uint64
	publishID atomic.Pointer[string]
	ready     atomic.Bool
	// drainStarted is closed when the reducer starts to drain, drainDone when it has drained.
	drainStarted chan struct{}
	drainOnce    sync.Once
	drainDone    chan struct{}
	// interruptCtx ends when attempts must end that have no answer yet. interrupt ends it.
	interruptCtx context.Context
	interrupt    context.CancelFunc
	// aborted is closed by Abort.
	aborted chan struct{}
}

// ConnectFunc returns a client of the store at addr, IP:port, that opens its connections with dial.
type ConnectFunc func(addr string, dial DialFunc) platform.Keyspace

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// New returns a daemon for settings that have been validated. Run starts it.
func New(s settings.Settings, release string, connect ConnectFunc) (*Daemon, error) {
	var err error
	d := &Daemon{
		settings:     s,
		release:      release,
		incarnation:  uint64(time.Now().UnixNano()),
		requests:     newRequestRegistry(),
		upstreams:    newUpstreams(),
		metrics:      newDaemonMetrics(),
		drainStarted: make(chan struct{}),
		drainDone:    make(chan struct{}),
		aborted:      make(chan struct{}),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.interruptCtx, d.interrupt = context.WithCancel(context.Background())
	d.metrics.registerAll()
	d.events = newEventLog(s.Instance, d.incarnation, s.TimelineCapacity)
	d.controlRate = newByteRate(d.metrics.set)
	keys := connect(s.StoreAddr, countingDial(d.metrics.set, "platform"))
	records := platform.NewRecords(keys)
	d.store, d.directory = records, records
	if d.presence, err = newPresence(keys, s); err != nil {
		return nil, err
	}
	d.engines = &engineClient{http: newControlClient(d.metrics.set, "engine")}
	if err = d.initPeers(); err != nil {
		return nil, err
	}
	seed, err := randomSeed()
	if err != nil {
		return nil, err
	}
	d.loop = newLoop(core.New(d.coreConfig(seed)), d.execute)
	return d, nil
}

func (d *Daemon) coreConfig(seed uint64) core.Config {
	s := d.settings
	return core.Config{
		Instance:           s.Instance,
		Incarnation:        d.incarnation,
		DataCentre:         s.DataCentre,
		Region:             s.Region,
		PeerAddr:           s.PeerAdvertiseAddr,
		Release:            d.release,
		Seed:               seed,
		HeartbeatInterval:  s.HeartbeatInterval,
		ControlBudget:      s.ControlBytesPerSecond,
		QueueRetryInterval: s.QueueRetryInterval,
		TakeoverWindow:     s.TakeoverWindow,
		TakeoverShare:      s.TakeoverShare,
		BalancerGrace:      s.BalancerGrace,
		ClaimRetention:     s.ClaimRetention,
		ClaimBatchDelay:    s.ClaimBatchDelay,
	}
}

func randomSeed() (uint64, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return 0, oops.In("daemon").Wrapf(err, "read a random seed")
	}
	return binary.LittleEndian.Uint64(seed[:]), nil
}

// initPeers creates the manager of the links to other instances.
func (d *Daemon) initPeers() error {
	tlsConfig, err := peerTLSConfig(d.settings)
	if err != nil {
		return err
	}
	d.peers = peer.New(peer.Config{
		Self: wire.Hello{
			Instance:    d.settings.Instance,
			Incarnation: d.incarnation,
			DataCentre:  d.settings.DataCentre,
			Region:      d.settings.Region,
			Release:     d.release,
			Addr:        d.settings.PeerAdvertiseAddr,
		},
		Secret:   string(d.settings.FleetSecret),
		Budget:   d.settings.ControlBytesPerSecond,
		Interval: d.settings.HeartbeatInterval,
		TLS:      tlsConfig,
		Metrics:  d.metrics.set,
		Stamp:    d.events.stamp,
		OnStamp:  d.events.observe,
		OnMessage: func(from fleet.InstanceID, incarnation uint64, m wire.Message) {
			d.loop.post(core.PeerMessage{From: from, Incarnation: incarnation, Message: m})
		},
		OnUp: func(hello wire.Hello) {
			d.loop.post(core.PeerUp{
				Instance:    hello.Instance,
				Incarnation: hello.Incarnation,
				Addr:        hello.Addr,
				DataCentre:  hello.DataCentre,
				Region:      hello.Region,
			})
		},
		OnDown: func(instance fleet.InstanceID, incarnation uint64) {
			d.loop.post(core.PeerDown{Instance: instance, Incarnation: incarnation})
		},
	})
	return nil
}

// Run serves until ctx ends or a drain is requested, then drains: the instance reports not
// ready, waits for the load balancer, hands over its duties and the engines that it is home of,
// and waits until the drain deadline for the requests in flight. After Abort it closes every
// connection without a drain.
func (d *Daemon) Run(ctx context.Context) error {
	servers, err := d.listen()
	if err != nil {
		return err
	}
	d.announce()
	d.tasks.Go(func() { d.loop.run(d.ctx, tickInterval) })
	d.tasks.Go(func() { d.controlRate.run(d.ctx) })
	d.tasks.Go(func() { d.presence.writer.Run(d.ctx, d.incarnation) })
	for _, s := range servers {
		d.tasks.Go(s.Serve)
	}
	klog.InfoS("started", "instance", d.settings.Instance, "callers", d.settings.CallerAddr,
		"peers", d.settings.PeerAddr, "admin", d.settings.AdminAddr, "release", d.release)
	select {
	case <-ctx.Done():
		d.loop.post(core.DrainRequested{})
	case <-d.drainStarted:
	case <-d.aborted:
		d.abort(servers)
		return nil
	}
	d.awaitDrain()
	d.stop(servers)
	return nil
}

// announce writes the instance's own entry to the store before the reducer starts and lists the
// instances. The daemon also starts when the store is unreachable; the entry is then written later.
func (d *Daemon) announce() {
	ctx, cancel := context.WithTimeout(d.ctx, announceTimeout)
	defer cancel()
	if err := d.presence.writer.Announce(ctx); err != nil {
		klog.ErrorS(err, "the instance's entry is not written to the store yet", "instance", d.settings.Instance)
	}
}

// announceTimeout bounds the write of the instance's entry at the start. A reachable store answers
// within milliseconds.
const announceTimeout = time.Second

// awaitDrain waits until the reducer reports the end of the drain, at most until the deadline.
func (d *Daemon) awaitDrain() {
	deadline := time.NewTimer(d.settings.DrainDeadline)
	defer deadline.Stop()
	select {
	case <-d.drainDone:
		klog.InfoS("drained", "instance", d.settings.Instance)
	case <-deadline.C:
		klog.InfoS("drain deadline passed with requests in flight", "instance", d.settings.Instance)
		d.loop.post(core.DrainDeadlinePassed{})
	}
}

// stop closes the listeners and connections of a drained daemon and waits for its goroutines.
func (d *Daemon) stop(servers []*httputil.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		s.Shutdown(ctx)
	}
	d.peers.Close()
	d.cancel()
	d.tasks.Wait()
	d.upstreams.close()
}

// abort closes every connection at once, without a drain.
func (d *Daemon) abort(servers []*httputil.Server) {
	for _, s := range servers {
		_ = s.HTTP.Close()
	}
	d.cancel()
	d.peers.Close()
	d.tasks.Wait()
}

// shutdownTimeout bounds the shutdown of the HTTP servers after a drain.
const shutdownTimeout = 2 * time.Second

// callerListener is the name of the listener for callers.
const callerListener = "callers"

// listen opens the listeners for callers, peers and the admin interface.
func (d *Daemon) listen() ([]*httputil.Server, error) {
	handlers := []struct {
		name, addr string
		handler    http.Handler
	}{
		{callerListener, d.settings.CallerAddr, d.callerHandler()},
		{"peers", d.settings.PeerAddr, d.peers.Handler()},
		{"admin", d.settings.AdminAddr, d.adminHandler()},
	}
	var servers []*httputil.Server
	for _, h := range handlers {
		listener, err := net.Listen("tcp", h.addr)
		if err != nil {
			httputil.CloseListeners(servers)
			return nil, oops.In("daemon").With("listener", h.name).Wrapf(err, "listen on %s", h.addr)
		}
		server := d.httpServer(h.handler)
		if h.name == callerListener {
			listener = httputil.KeepUnread(server, listener, d.settings.HeaderTimeout)
			server.ConnContext = httputil.WithConn
		}
		servers = append(servers, &httputil.Server{Name: h.name, Listener: listener, HTTP: server})
	}
	// servers has the order of handlers, so the peers' server is the second.
	if err := d.enablePeerTLS(servers[1]); err != nil {
		httputil.CloseListeners(servers)
		return nil, err
	}
	return servers, nil
}

func (d *Daemon) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: d.settings.HeaderTimeout,
		IdleTimeout:       d.settings.IdleTimeout + httputil.IdleSlack,
		MaxHeaderBytes:    d.settings.MaxHeaderBytes,
	}
}

// Ready reports whether the instance accepts callers' requests.
func (d *Daemon) Ready() bool { return d.ready.Load() }

// Abort ends the daemon without a drain, as a crash would.
func (d *Daemon) Abort() { close(d.aborted) }
