// Package daemon is the I/O shell of an instance: it turns HTTP requests, peer messages,
// timers and answers of the platform into events of the reducer and carries out its effects.
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

// tickInterval is the granularity of the reducer's timers. Claim batches wait 20 ms.
const tickInterval = 10 * time.Millisecond

// Daemon is one running instance.
type Daemon struct {
	settings    settings.Settings
	release     string
	incarnation uint64
	ctx         context.Context
	cancel      context.CancelFunc
	tasks       conc.WaitGroup

	loop      *loop
	requests  *requests
	upstreams *upstreams
	engines   *engineClient
	store     platform.Store
	directory platform.Directory
	presence  *presence
	peers     *peer.Manager
	metrics   *daemonMetrics
	events    *eventLog
	rate      *byteRate

	snapshot  atomic.Pointer[config.Snapshot]
	version   atomic.Uint64
	publishID atomic.Pointer[string]
	ready     atomic.Bool
	draining  chan struct{}
	drainOnce sync.Once
	drained   chan struct{}
	aborted   chan struct{}
}

// Connect returns the store at an address, IP:port. Dial opens its connections.
type Connect func(addr string, dial DialFunc) platform.Keyspace

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// New returns a daemon for checked settings. Run starts it.
func New(s settings.Settings, release string, connect Connect) (*Daemon, error) {
	var err error
	d := &Daemon{
		settings:    s,
		release:     release,
		incarnation: uint64(time.Now().UnixNano()),
		requests:    newRequests(),
		upstreams:   newUpstreams(),
		metrics:     newDaemonMetrics(),
		draining:    make(chan struct{}),
		drained:     make(chan struct{}),
		aborted:     make(chan struct{}),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.metrics.registerAll()
	d.events = newEventLog(s.Instance, d.incarnation, s.TimelineEvents)
	d.rate = newByteRate(d.metrics.set)
	keys := connect(s.StoreAddr, countedDial(d.metrics.set, "platform"))
	records := platform.NewRecords(keys)
	d.store, d.directory = records, records
	if d.presence, err = newPresence(keys, s); err != nil {
		return nil, err
	}
	d.engines = &engineClient{http: newControlClient(d.metrics.set, "engine")}
	if err = d.buildPeers(); err != nil {
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
		Instance:          s.Instance,
		Incarnation:       d.incarnation,
		DataCentre:        s.DataCentre,
		Region:            s.Region,
		PeerAddr:          s.PeerAdvertise,
		Release:           d.release,
		Seed:              seed,
		HeartbeatInterval: s.HeartbeatInterval,
		ControlBudget:     s.ControlBytesPerSecond,
		Rewalk:            s.Rewalk,
		TakeoverWindow:    s.TakeoverWindow,
		TakeoverShare:     s.TakeoverShare,
		BalancerGrace:     s.BalancerGrace,
		ClaimRetention:    s.ClaimRetention,
		ClaimBatch:        s.ClaimBatch,
	}
}

func randomSeed() (uint64, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return 0, oops.In("daemon").Wrapf(err, "read a random seed")
	}
	return binary.LittleEndian.Uint64(seed[:]), nil
}

// buildPeers sets up the links to other instances.
func (d *Daemon) buildPeers() error {
	tlsConfig, err := peerTLS(d.settings)
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
			Addr:        d.settings.PeerAdvertise,
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

// Run serves until ctx ends, then drains: the instance turns not ready, waits for the
// balancer, hands over its homes and duties, and lets requests in flight end up to the
// drain deadline.
func (d *Daemon) Run(ctx context.Context) error {
	servers, err := d.listen()
	if err != nil {
		return err
	}
	d.announce()
	d.tasks.Go(func() { d.loop.run(d.ctx, tickInterval) })
	d.tasks.Go(func() { d.rate.run(d.ctx) })
	d.tasks.Go(func() { d.presence.key.Run(d.ctx, d.incarnation) })
	for _, s := range servers {
		d.tasks.Go(s.Serve)
	}
	klog.InfoS("started", "instance", d.settings.Instance, "callers", d.settings.CallerAddr,
		"peers", d.settings.PeerAddr, "admin", d.settings.AdminAddr, "release", d.release)
	select {
	case <-ctx.Done():
		d.loop.post(core.DrainRequested{})
	case <-d.draining:
	case <-d.aborted:
		d.abort(servers)
		return nil
	}
	d.awaitDrain()
	d.stop(servers)
	return nil
}

// announce writes the instance's row before the others are listed. A store that is away does not
// hold up the start.
func (d *Daemon) announce() {
	ctx, cancel := context.WithTimeout(d.ctx, announceTimeout)
	defer cancel()
	if err := d.presence.key.Announce(ctx); err != nil {
		klog.ErrorS(err, "instance not announced yet", "instance", d.settings.Instance)
	}
}

// announceTimeout bounds the wait for the store at the start. It answers in milliseconds.
const announceTimeout = time.Second

// awaitDrain waits until the reducer reports that the drain has ended, or for the deadline.
func (d *Daemon) awaitDrain() {
	deadline := time.NewTimer(d.settings.DrainDeadline)
	defer deadline.Stop()
	select {
	case <-d.drained:
		klog.InfoS("drained", "instance", d.settings.Instance)
	case <-deadline.C:
		klog.InfoS("drain deadline passed with requests in flight", "instance", d.settings.Instance)
	}
}

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

// abort closes every connection at once.
func (d *Daemon) abort(servers []*httputil.Server) {
	for _, s := range servers {
		_ = s.HTTP.Close()
	}
	d.cancel()
	d.peers.Close()
	d.tasks.Wait()
}

// shutdownTimeout bounds the end of idle connections after a drain.
const shutdownTimeout = 2 * time.Second

// listen opens the three listeners.
func (d *Daemon) listen() ([]*httputil.Server, error) {
	handlers := []struct {
		name, addr string
		handler    http.Handler
	}{
		{"callers", d.settings.CallerAddr, d.callerHandler()},
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
		servers = append(servers, &httputil.Server{Name: h.name, Listener: listener, HTTP: d.httpServer(h.handler)})
	}
	if err := d.securePeers(servers[1]); err != nil {
		httputil.CloseListeners(servers)
		return nil, err
	}
	return servers, nil
}

func (d *Daemon) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: d.settings.HeaderTimeout,
		IdleTimeout:       d.settings.IdleTimeout,
		MaxHeaderBytes:    d.settings.HeaderBytes,
	}
}

// Ready reports whether the instance takes callers.
func (d *Daemon) Ready() bool { return d.ready.Load() }

// Abort ends the daemon without a drain, as a crash would.
func (d *Daemon) Abort() { close(d.aborted) }
