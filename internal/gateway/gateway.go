// Package gateway runs one instance: it accepts callers' requests, sends them to engines, forwards the
// responses, reads the store and holds the links to peers.
//
// It does the I/O for package router: callers' requests, engines' responses, keys of the store, peer
// messages and timers become events of the router, and the gateway executes the effects that the router
// returns. It takes no routing decision of its own. If a response breaks off after a part of it was
// forwarded and can't be resumed, the gateway closes the caller's connection, so that the caller does
// not take the part for the whole. Events of a stream are only forwarded complete.
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

	"github.com/bilberrywell/bilberrywell/internal/httputil"
	"github.com/bilberrywell/bilberrywell/internal/peer"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/relay"
	"github.com/bilberrywell/bilberrywell/internal/router"
	"github.com/bilberrywell/bilberrywell/internal/upstream"
	"github.com/bilberrywell/bilberrywell/routing"
)

const (
	// tickInterval is the granularity of the router's timers, of which the shortest has 200 ms.
	tickInterval = 50 * time.Millisecond
	// maintenanceInterval is the time between checks for expired idle connections and changed settings.
	maintenanceInterval = time.Second
	// exitMargin is the part of the stop grace that is reserved for closing connections, and answerMargin the part
	// before it for final responses to the requests that are still open: 300 of them took 450 ms on a machine with
	// three busy processes for each processor.
	exitMargin   = 300 * time.Millisecond
	answerMargin = 700 * time.Millisecond
	// settleTime is how long a stopping instance without requests waits for one on a connection that was just
	// accepted, whose header is still on its way.
	settleTime = 100 * time.Millisecond
	// peerBudget bounds the bytes per second sent to peers. Normal traffic is far lower; while
	// configurations change in quick succession, an instance forwards four compressed ones of 15 KB
	// four times a second. The link of a weak machine carries 1.25 MB/s.
	peerBudget = 768 << 10
)

// Options holds the settings and the dependencies of a gateway.
type Options struct {
	Settings Settings
	// Reload reads the settings again; it is called on a hangup signal or a changed file.
	Reload       func() (Settings, error)
	Protocol     Protocol
	StoreDecoder router.StoreDecoder
	Store        platform.Keyspace
	Release      string
	// SettingsChanged reports whether the settings file was written since the last call. May be nil.
	SettingsChanged func() bool
	// ControlsLoad reports whether contracts of the platform ask for load control. May be nil.
	ControlsLoad func(contracts []string) bool
	// DialEngine opens connections to engines. If nil, they are opened with upstream.NewDialer.
	DialEngine relay.DialFunc
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
	clock       *clock
	ctx         context.Context
	cancel      context.CancelFunc
	tasks       conc.WaitGroup

	// mu guards router. It is held while an event is handled and its effects are executed.
	mu     sync.Mutex
	router *router.Router

	calls            callTable
	bodies           bodyMemory
	callerHTTPServer *http.Server
	callerListener   *callerListener
	engineConns      *upstream.Pool
	engineDialer     *relay.Dialer
	relayServer      *relay.Server
	peers            *peer.Manager
	events           chan router.Event
	storeWatch       *watchSwitch
	origins          originWriter
	presence         *platform.Presence
	// listedOnce reports whether the keys were listed since the process started. Only the goroutine of
	// watchStore uses it.
	listedOnce bool
	// storeTried is closed when the first list of the keys has ended, also with an error.
	storeTried *onceSignal
	metrics    *gatewayMetrics
	table      atomic.Pointer[routing.Table]
	ready      atomic.Bool
	draining   atomic.Bool
	drained    chan struct{}
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
		clock:       newClock(sinceBoot),
		events:      make(chan router.Event, eventQueueSize),
		metrics:     newMetrics(),
		storeWatch:  newWatchSwitch(),
		storeTried:  newOnceSignal(),
		drained:     make(chan struct{}),
	}
	g.openEnginePaths(binary.LittleEndian.Uint64(seed[:]))
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.calls.init()
	g.bodies.limit = int64(o.Settings.BodyMemory)
	g.metrics.registerGauges(g)
	g.store = meteredStore{Keyspace: o.Store, metrics: g.metrics}
	g.presence = g.newPresence()
	cfg := o.routerConfig(o.Settings)
	cfg.Incarnation = g.incarnation
	cfg.Seed = binary.LittleEndian.Uint64(seed[:])
	g.router = router.New(cfg)
	g.peers = peer.New(g.peerConfig())
	g.callerHTTPServer = g.newCallerServer()
	return g, nil
}

// eventQueueSize is the capacity of the queue of peer events. A full queue delays the links.
const eventQueueSize = 256

// enqueue queues an event of a peer. Links call it while an effect of the router may be waiting for
// them, so they must not wait for the router.
func (g *Gateway) enqueue(ev router.Event) {
	select {
	case g.events <- ev:
	case <-g.ctx.Done():
	}
}

// now returns the time since the gateway was created.
func (g *Gateway) now() time.Duration { return g.clock.now() }

// step passes an event to the router and executes its effects.
func (g *Gateway) step(ev router.Event) { g.stepIf(func() bool { return true }, ev) }

// stepIf does so if a condition still holds when the router is free.
func (g *Gateway) stepIf(holds func() bool, ev router.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !holds() {
		return
	}
	for _, effect := range g.router.Step(g.now(), ev) {
		g.execute(effect)
	}
}

// execute executes an effect. It must not block.
func (g *Gateway) execute(effect router.Effect) {
	switch e := effect.(type) {
	case router.Command:
		g.executeCommand(e)
	case router.EndStalledAttempt:
		if c := g.calls.get(e.Call); c != nil {
			c.endStalled(e)
		}
	case router.EndUnansweredAttempt:
		if c := g.calls.get(e.Call); c != nil {
			c.interrupt()
		}
	case router.RefuseUnreadCalls:
		g.calls.refuseUnread(e)
	case router.Decision:
		g.recordDecision(e)
	case router.CallDone:
		g.metrics.callDone(e)
	case router.FirstEventDone:
		g.metrics.firstEventDone(e)
	case router.ForecastDone:
		g.metrics.forecastDone(e)
	case router.AttemptDone:
		g.metrics.attemptDone(e)
	case router.CallWaited:
		g.metrics.callWaited(e)
	case router.SendMessage:
		g.peers.Send(e.To, e.Message)
	case router.SendToMany:
		g.peers.SendTo(e.To, e.Message)
	case router.SetPeers:
		g.setPeers(e)
	case router.ConfigInForce:
		g.table.Store(e.Table)
		g.metrics.configInForce(e.Table.Version)
	case router.SetReady:
		g.ready.Store(e.Ready)
	case router.WatchStore:
		g.storeWatch.set(e)
	case router.ListKeys:
		g.storeWatch.restart()
	case router.RenewPresence:
		g.presence.Renew()
	case router.StoreKey:
		g.tasks.Go(func() { g.storeKey(e) })
	case router.StoreOrigins:
		g.tasks.Go(func() { g.origins.store(g, e) })
	case router.LoadOrigins:
		g.tasks.Go(func() { g.loadOrigins(e) })
	case router.ReplaceKey:
		g.tasks.Go(func() { g.replaceKey(e) })
	case router.RemoveKey:
		g.tasks.Go(func() { g.removeKey(e) })
	case router.CheckEngine:
		go g.checkEngine(e)
	case router.DropIdleConns:
		g.engineConns.CloseIdle(e.Addr)
	case router.StopAccepting:
		g.callerListener.retire()
	case router.Drained:
		close(g.drained)
	}
}

// executeCommand passes a command to its request. An attempt beside another one has a goroutine of its own.
func (g *Gateway) executeCommand(command router.Command) {
	if send, ok := command.(router.Send); ok && send.Beside {
		if c := g.calls.get(send.Call); c != nil {
			c.startBeside(send)
		}
		return
	}
	g.calls.dispatch(command)
}

// checkEngine checks whether an engine accepts a connection. A connection that opens is kept for use.
func (g *Gateway) checkEngine(e router.CheckEngine) {
	conn, err := g.engineConns.Open(g.ctx, e.Addr)
	if err == nil {
		g.engineConns.Put(conn, 0)
	}
	if err == nil || g.engineDialer.Blames(e.Addr) {
		g.step(router.EngineChecked{Engine: e.Engine, Reachable: err == nil})
	}
}

// Run serves until ctx ends, and then until the instance has drained or its stop grace is over.
func (g *Gateway) Run(ctx context.Context) error {
	servers, err := g.listen()
	if err != nil {
		return err
	}
	for _, s := range servers {
		g.tasks.Go(func() { g.serve(s) })
	}
	g.tasks.Go(g.loop)
	g.tasks.Go(g.watchStore)
	g.tasks.Go(func() { g.presence.Run(g.ctx, g.incarnation) })
	klog.InfoS("started", "release", g.options.Release, "callers", g.settings.CallerAddr,
		"peers", g.settings.PeerAddr, "store", g.settings.StoreAddr)
	<-ctx.Done()
	g.draining.Store(true)
	g.relayServer.Stop()
	g.step(router.DrainRequested{})
	g.awaitDrained(g.settings.StopGrace - exitMargin)
	g.stop(servers)
	klog.InfoS("stopped")
	return nil
}

// awaitDrained waits until the router has drained and no request is being received, at most for the grace.
func (g *Gateway) awaitDrained(grace time.Duration) {
	deadline := time.NewTimer(grace)
	defer deadline.Stop()
	select {
	case <-g.drained:
	case <-deadline.C:
		klog.InfoS("stop grace ended with requests in flight", "requests", g.calls.count())
		return
	}
	if !g.awaitNoCalls(settleTime, deadline.C) {
		return
	}
	// From here on net/http passes no further request on. One may have arrived just before.
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = g.callerHTTPServer.Shutdown(ended)
	if g.awaitNoCalls(0, deadline.C) {
		g.awaitNoRelayed(deadline.C)
	}
}

// awaitNoCalls waits until there has been no request for a time. It returns false if the deadline passes first.
func (g *Gateway) awaitNoCalls(settle time.Duration, deadline <-chan time.Time) bool {
	ticker := time.NewTicker(settleTime / 5)
	defer ticker.Stop()
	for settledSince := time.Now(); ; {
		if g.calls.count() > 0 {
			settledSince = time.Now()
		} else if time.Since(settledSince) >= settle {
			return true
		}
		select {
		case <-ticker.C:
		case <-deadline:
			klog.InfoS("stop grace ended while requests were being received", "requests", g.calls.count())
			return false
		}
	}
}

func (g *Gateway) stop(servers []*httputil.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), exitMargin/2)
	defer cancel()
	for _, s := range servers {
		s.Shutdown(ctx)
	}
	g.cancel()
	g.relayServer.Close()
	g.peers.Close()
	g.tasks.Wait()
	g.engineConns.Close()
}

// loop passes timers and peer events to the router.
func (g *Gateway) loop() {
	// The first tick makes the router start reading the store.
	g.step(router.Tick{})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	nextMaintenance := g.now() + maintenanceInterval
	for {
		select {
		case <-g.ctx.Done():
			return
		case ev := <-g.events:
			g.step(ev)
		case <-ticker.C:
			g.clock.noticeSuspension()
			g.step(router.Tick{})
			if g.now() >= nextMaintenance {
				nextMaintenance = g.now() + maintenanceInterval
				g.engineConns.Prune()
				if g.options.SettingsChanged != nil && g.options.SettingsChanged() {
					g.Reload()
				}
			}
		}
	}
}

// stats returns a snapshot of the router's state for metrics.
func (g *Gateway) stats() router.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.Stats(g.now())
}

// Reload reads the settings again and applies those that may change while the process runs: the retry
// limits, the limits of warm-ups, the seeds and load control.
func (g *Gateway) Reload() {
	s, err := g.options.Reload()
	if err != nil {
		klog.ErrorS(err, "settings not reloaded, the current ones stay in force")
		return
	}
	g.mu.Lock()
	g.router.Reconfigure(g.options.routerConfig(s))
	g.mu.Unlock()
	klog.InfoS("settings reloaded")
}
