// Package gateway is the I/O shell of the router: it turns callers' requests, answers of
// engines, keys of the store, peer messages and timers into events of the reducer and carries
// out its effects.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/httputil"
	"github.com/bilberrywell/bilberrywell/internal/peer"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/router"
	"github.com/bilberrywell/bilberrywell/internal/upstream"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/routing"
)

const (
	// tickInterval is the granularity of the reducer's timers, of which the shortest has 200 ms.
	tickInterval = 50 * time.Millisecond
	// pruneInterval is the time between looks for idle connections to close and for changed settings.
	pruneInterval = time.Second
	// exitMargin is the part of the stop grace that is left for closing connections.
	exitMargin = 300 * time.Millisecond
	// peerBudget bounds the control bytes per second. The usual traffic is far below; while
	// configurations change in quick succession an instance passes on four packed ones of 15 KB
	// four times a second. A weak machine's link carries 1.25 MB/s.
	peerBudget = 768 << 10
)

// Options are what a gateway needs beside its settings.
type Options struct {
	Settings Settings
	// Reload reads the settings again; it is called on a hangup signal or a changed file.
	Reload   func() (Settings, error)
	Protocol Protocol
	Format   router.Format
	Store    platform.Keyspace
	Release  string
	// SettingsChanged reports whether the settings file was written since the last call. May be nil.
	SettingsChanged func() bool
	// LogDropped returns the number of log lines that were dropped. May be nil.
	LogDropped func() uint64
}

// Gateway is one running instance.
type Gateway struct {
	options     Options
	settings    Settings
	protocol    Protocol
	store       platform.Keyspace
	incarnation uint64
	start       time.Time
	ctx         context.Context
	cancel      context.CancelFunc
	tasks       conc.WaitGroup

	// mu is held while an event is handled and its effects are carried out.
	mu     sync.Mutex
	router *router.Router

	calls   callTable
	callers *http.Server
	engines *upstream.Pool
	peers   *peer.Manager
	events  chan router.Event
	watch   *watchSwitch
	// listed tells that the keys were listed since the start. Only watchStore uses it.
	listed   bool
	metrics  *gatewayMetrics
	table    atomic.Pointer[routing.Table]
	ready    atomic.Bool
	draining atomic.Bool
	drained  chan struct{}
}

// New returns a gateway. Run starts it.
func New(o Options) (*Gateway, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, oops.In("gateway").Wrapf(err, "read a random seed")
	}
	g := &Gateway{
		options:     o,
		settings:    o.Settings,
		protocol:    o.Protocol,
		store:       o.Store,
		incarnation: uint64(time.Now().UnixNano()),
		start:       time.Now(),
		engines:     upstream.NewPool(nil),
		events:      make(chan router.Event, eventQueue),
		metrics:     newMetrics(),
		watch:       newWatchSwitch(),
		drained:     make(chan struct{}),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.calls.init()
	g.metrics.gauges(g)
	g.store = countedStore{Keyspace: o.Store, metrics: g.metrics}
	cfg := routerConfig(o.Settings, o.Format)
	cfg.Incarnation = g.incarnation
	cfg.Seed = binary.LittleEndian.Uint64(seed[:])
	g.router = router.New(cfg)
	g.peers = peer.New(g.peerConfig())
	g.callers = g.callerServer()
	return g, nil
}

func routerConfig(s Settings, format router.Format) router.Config {
	return router.Config{
		// The peer address names an instance among its peers, because seeds are known by it only.
		Instance:     fleet.InstanceID(s.PeerAddr),
		DataCentre:   s.DataCentre,
		Seeds:        s.Seeds,
		Format:       format,
		RetryRatio:   s.RetryRatio,
		RetryReserve: s.RetryReserve,
		RetryWindow:  s.RetryWindow,
		DrainWait:    s.DrainWait,
		LoadFactor:   loadMargin * s.LoadLimit,
	}
}

// loadMargin keeps an engine under the load limit although the load of other instances is known
// with a delay.
const loadMargin = 0.75

func (g *Gateway) peerConfig() peer.Config {
	return peer.Config{
		Self: wire.Hello{
			Instance:    fleet.InstanceID(g.settings.PeerAddr),
			Incarnation: g.incarnation,
			DataCentre:  g.settings.DataCentre,
			Region:      g.settings.Region,
			Release:     g.options.Release,
			Addr:        g.settings.PeerAddr,
		},
		Secret:  g.settings.FleetSecret,
		Budget:  peerBudget,
		Dial:    upstream.NewDialer(peerDialTimeout).DialContext,
		Metrics: g.metrics.set,
		OnMessage: func(from fleet.InstanceID, incarnation uint64, m wire.Message) {
			g.post(router.PeerMessage{From: from, Incarnation: incarnation, Message: m})
		},
		OnUp: func(hello wire.Hello) {
			g.post(router.PeerUp{Instance: hello.Instance, Incarnation: hello.Incarnation, Addr: hello.Addr, DataCentre: hello.DataCentre})
		},
		OnDown: func(instance fleet.InstanceID, incarnation uint64) {
			g.post(router.PeerDown{Instance: instance, Incarnation: incarnation})
		},
	}
}

// peerDialTimeout bounds the time to open a connection to a peer.
const peerDialTimeout = time.Second

// eventQueue is the number of peer events that can wait. A full queue delays the links.
const eventQueue = 256

// post queues an event of a peer. Links call it while the reducer's effects may be waiting for
// them, so they must not wait for the reducer.
func (g *Gateway) post(ev router.Event) {
	select {
	case g.events <- ev:
	case <-g.ctx.Done():
	}
}

// now returns the time of an event since the start of the process, by the monotonic clock.
func (g *Gateway) now() time.Duration { return time.Since(g.start) }

// step feeds an event to the reducer and carries out its effects.
func (g *Gateway) step(ev router.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, effect := range g.router.Step(g.now(), ev) {
		g.execute(effect)
	}
}

// execute carries out an effect. It must not block.
func (g *Gateway) execute(effect router.Effect) {
	switch e := effect.(type) {
	case router.Command:
		g.calls.command(e)
	case router.Decision:
		g.note(e)
	case router.CallDone:
		g.metrics.callDone(e)
	case router.AttemptDone:
		g.metrics.attemptDone(e)
	case router.SendMessage:
		g.peers.Send(e.To, e.Message)
	case router.SendToMany:
		g.peers.SendTo(e.To, e.Message)
	case router.SetPeers:
		g.setPeers(e)
	case router.ConfigInForce:
		g.table.Store(e.Table)
		g.metrics.configured(e.Table.Version)
	case router.SetReady:
		g.ready.Store(e.Ready)
	case router.WatchStore:
		g.watch.set(e.On, e.Pause)
	case router.CheckEngine:
		go g.checkEngine(e)
	case router.DropIdleConns:
		g.engines.Drop(e.Addr)
	case router.StopAccepting:
		g.tasks.Go(g.stopAccepting)
	case router.Drained:
		close(g.drained)
	}
}

func (g *Gateway) setPeers(e router.SetPeers) {
	targets := make([]peer.Target, len(e.Peers))
	for i, p := range e.Peers {
		targets[i] = peer.Target(p)
	}
	g.peers.SetTargets(targets)
}

// checkEngine opens a connection to an engine that broke one off. A connection that opens is kept for use.
func (g *Gateway) checkEngine(e router.CheckEngine) {
	conn, err := g.engines.Open(g.ctx, e.Addr)
	if err == nil {
		g.engines.Put(conn, 0)
	}
	g.step(router.EngineChecked{Engine: e.Engine, Reachable: err == nil})
}

// stopAccepting closes the listener for callers and their idle connections. Requests in flight go on.
func (g *Gateway) stopAccepting() {
	if err := g.callers.Shutdown(g.ctx); err != nil && g.ctx.Err() == nil {
		klog.ErrorS(err, "listener not closed", "listener", "callers")
	}
}

// Run serves until ctx ends and the instance has drained.
func (g *Gateway) Run(ctx context.Context) error {
	servers, err := g.listen()
	if err != nil {
		return err
	}
	for _, s := range servers {
		g.tasks.Go(s.Serve)
	}
	g.tasks.Go(g.loop)
	g.tasks.Go(g.watchStore)
	g.tasks.Go(g.keepPresence)
	klog.InfoS("started", "release", g.options.Release, "callers", g.settings.CallerAddr,
		"peers", g.settings.PeerAddr, "store", g.settings.StoreAddr)
	<-ctx.Done()
	g.draining.Store(true)
	g.step(router.DrainRequested{})
	deadline := time.NewTimer(g.settings.StopGrace - exitMargin)
	defer deadline.Stop()
	select {
	case <-g.drained:
	case <-deadline.C:
		klog.InfoS("stop grace ended with requests in flight")
	}
	g.stop(servers)
	klog.InfoS("stopped")
	return nil
}

func (g *Gateway) stop(servers []*httputil.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), exitMargin/2)
	defer cancel()
	for _, s := range servers {
		s.Shutdown(ctx)
	}
	g.cancel()
	g.peers.Close()
	g.tasks.Wait()
	g.engines.Close()
}

// loop feeds timers and peer events to the reducer.
func (g *Gateway) loop() {
	// The first tick starts the reading of the store.
	g.step(router.Tick{})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	prune := g.now() + pruneInterval
	for {
		select {
		case <-g.ctx.Done():
			return
		case ev := <-g.events:
			g.step(ev)
		case <-ticker.C:
			g.step(router.Tick{})
			if g.now() >= prune {
				prune = g.now() + pruneInterval
				g.engines.Prune()
				if g.options.SettingsChanged != nil && g.options.SettingsChanged() {
					g.Reload()
				}
			}
		}
	}
}

// stats returns what the router knows, for metrics.
func (g *Gateway) stats() router.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.Stats(g.now())
}

// Reload takes the settings that may change while the process runs: the retry limits and seeds.
func (g *Gateway) Reload() {
	s, err := g.options.Reload()
	if err != nil {
		klog.ErrorS(err, "settings not reloaded, the last good ones stay")
		return
	}
	g.mu.Lock()
	g.router.Reconfigure(routerConfig(s, g.options.Format))
	g.mu.Unlock()
	klog.InfoS("settings reloaded")
}
