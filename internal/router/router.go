// Package router decides, for one instance, which engine runs each caller's request, whether a failed
// attempt is repeated, and what final response the caller gets. Routes, customers and engines are
// read from the platform's store, where other parties keep them.
//
// The package is a deterministic state machine: Step takes the time and an event and returns effects
// as data. It contains no I/O, goroutine, clock or unseeded randomness. Every decision about a request
// is taken at the instance that accepted it. Instances exchange the facts (key-value pairs with their
// revision) that they read from the store, their load (the number of requests that they run at each
// engine), and the fingerprints of requests that crash engines. In a periodic status report each
// instance sends its peers a digest of its facts, whether it has lost the store or is draining, and in
// small fleets its load.
package router

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/notice"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/ratelimit"
	"github.com/bilberrywell/bilberrywell/registry"
	"github.com/bilberrywell/bilberrywell/replica"
	"github.com/bilberrywell/bilberrywell/retry"
	"github.com/bilberrywell/bilberrywell/routing"
)

// StoreDecoder decodes the values that other parties keep in the store.
type StoreDecoder interface {
	// Prefixes returns the key of the configuration and the prefix of the registrations.
	Prefixes() (configuration, registrations string)
	// EvacuationPrefix returns the prefix of the keys that order the evacuation of a data centre.
	EvacuationPrefix() string
	// Configuration decodes the value of the configuration's key.
	Configuration(value []byte) (routing.Config, error)
	// Engine decodes a registration.
	Engine(key string, value []byte) (registry.Engine, error)
	// Evacuation returns the data centre that a key orders to evacuate, or none if the key names none. An error with a
	// data centre reports a value that does not follow the format.
	Evacuation(key string, value []byte) (fleet.DataCentre, error)
}

// Config describes the instance and its limits. Zero limits take the defaults.
type Config struct {
	Instance    fleet.InstanceID
	Incarnation uint64
	DataCentre  fleet.DataCentre
	// Seeds are peer addresses that are tried while the store names no other instance.
	Seeds []string
	// Seed seeds all random choices.
	Seed         uint64
	StoreDecoder StoreDecoder

	// RetryRatio, RetryReserve and RetryWindow bound the fleet's extra attempts at a service:
	// at most RetryRatio times its requests plus RetryReserve in any RetryWindow.
	RetryRatio   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// ReregistrationGrace is how long the registration of an engine may be missing after the store has
	// become reachable again before the engine is removed. Default 2 s.
	ReregistrationGrace time.Duration
	// DrainWait is how long a stopping instance still accepts new requests, so that the balancer has
	// time to notice that it is not ready. Default 2.5 s.
	DrainWait time.Duration
	// DrainLimit is the time from the request to stop until the requests that are still open get a final
	// response, because the process ends soon. Default 7.5 s.
	DrainLimit time.Duration
	// LoadFactor is the highest load of an engine as a multiple of its pool's mean load. Default 1.5.
	LoadFactor float64
	// Forecast lets forecasts and the pace figures of engines decide where requests go.
	Forecast bool
	// LoadControl switches on the decisions for overload: the admission queue and the priorities of the retry budget.
	LoadControl bool
	// WarmUpOvershoot and WarmUpSlack bound the requests of the fleet to a cold engine: in no second may it get more
	// than the rate that its service names times WarmUpOvershoot plus WarmUpSlack. Defaults 1.5 and 5.
	WarmUpOvershoot float64
	WarmUpSlack     float64
}

func (c *Config) setDefaults() {
	c.RetryRatio = cmp.Or(c.RetryRatio, 0.1)
	c.RetryWindow = cmp.Or(c.RetryWindow, 10*time.Second)
	c.ReregistrationGrace = cmp.Or(c.ReregistrationGrace, 2*time.Second)
	c.DrainWait = cmp.Or(c.DrainWait, 2500*time.Millisecond)
	c.DrainLimit = cmp.Or(c.DrainLimit, 7500*time.Millisecond)
	if c.WarmUpOvershoot == 0 && c.WarmUpSlack == 0 {
		c.WarmUpOvershoot, c.WarmUpSlack = 1.5, 5
	}
}

// Router is the state of one instance. It is not safe for concurrent use.
type Router struct {
	cfg     Config
	now     time.Duration
	effects []Effect
	rng     *rand.Rand
	// rngState is the state of rng.
	rngState *rand.PCG

	replica  *replica.Replica
	registry *registry.Registry
	table    *routing.Table
	pools    map[fleet.ServiceID]*servicePool
	routes   map[string]*routeStats

	calls map[CallID]*call
	// awaitingConfig holds the requests that arrived before the instance could route.
	awaitingConfig []*call
	waiting        waitState
	poison         poisonState
	members        memberState
	loads          loadState
	store          storeState
	// expelled holds, for each engine that was removed because its address belongs to another engine,
	// when it is readmitted if it is still registered.
	expelled map[fleet.EngineID]time.Duration
	// evacuations holds the data centres whose engines get no requests.
	evacuations map[fleet.DataCentre]evacuation
	limits      rateLimitState
	warmUps     warmUpState
	notices     *notice.Tracker
	tokens      tokenState
	delayed     delayedRetries
	streams     streamState
	relays      relayState
	drain       drainState
	ready       bool
	// spread is the last Retry-After that was drawn at random.
	spread retrySpread
}

// servicePool holds the engines of a service and the retry budget for them.
type servicePool struct {
	engines *placement.Pool
	budget  retry.Window
	// alike detects that most engines fail alike.
	alike alikeFailures
	// demand is the rate of this instance's requests for the service.
	demand demandMeter
	// turns permits requests to be sent while the engines are nearly full.
	turns turnState
}

// New returns the router of an instance.
func New(cfg Config) *Router {
	cfg.setDefaults()
	rngState := rand.NewPCG(cfg.Seed, cfg.Incarnation)
	r := &Router{
		cfg:         cfg,
		rng:         rand.New(rngState),
		rngState:    rngState,
		registry:    registry.New(registry.Config{ReregistrationGrace: cfg.ReregistrationGrace}),
		pools:       make(map[fleet.ServiceID]*servicePool),
		routes:      make(map[string]*routeStats),
		calls:       make(map[CallID]*call),
		expelled:    make(map[fleet.EngineID]time.Duration),
		evacuations: make(map[fleet.DataCentre]evacuation),
		limits:      rateLimitState{tracker: ratelimit.NewTracker()},
		notices:     notice.NewTracker(),
	}
	r.replica = replica.New(r.contentHash)
	r.store.currentAt, r.store.readBefore = never, never
	r.poison.init(fleet.Hash("instance", string(cfg.Instance)))
	r.members.init()
	r.loads.init()
	r.tokens.init()
	r.streams.init()
	r.delayed.init()
	r.waiting.init()
	r.relays.init()
	r.warmUps.init()
	r.rebuildGrid()
	return r
}

// Reconfigure applies the retry limits, the limits of warm-ups, the seeds and LoadControl of cfg; the other fields can't
// change while the
// process runs.
func (r *Router) Reconfigure(cfg Config) {
	cfg.setDefaults()
	r.cfg.RetryRatio, r.cfg.RetryReserve, r.cfg.RetryWindow = cfg.RetryRatio, cfg.RetryReserve, cfg.RetryWindow
	r.cfg.Seeds = cfg.Seeds
	r.cfg.LoadControl = cfg.LoadControl
	r.cfg.WarmUpOvershoot, r.cfg.WarmUpSlack = cfg.WarmUpOvershoot, cfg.WarmUpSlack
	r.warmUps.viewStale = true
	r.divideBudgets()
}

// Step handles an event and returns the effects to execute, in order. The slice is valid until the
// next call. now is the time since the instance started.
func (r *Router) Step(now time.Duration, ev Event) []Effect {
	r.now = now
	r.effects = r.effects[:0]
	r.noticeSuspension()
	switch ev := ev.(type) {
	case CallArrived:
		r.callArrived(ev)
	case ResponseStarted:
		r.responseStarted(ev)
	case FirstEventReceived:
		r.firstEventReceived(ev)
	case AttemptStalled:
		r.attemptStalled(ev)
	case AttemptEnded:
		r.attemptEnded(ev)
	case CallerDisconnected:
		r.callerDisconnected(ev)
	case EngineChecked:
		r.engineChecked(ev)
	case KeysListed:
		r.keysListed(ev)
	case KeysChanged:
		r.keysChanged(ev)
	case OriginsStored:
		r.originsStored(ev)
	case OriginsLoaded:
		r.originsLoaded(ev)
	case StoreLost:
		r.storeLost(ev)
	case PeerUp:
		r.peerUp(ev)
	case PeerDown:
		r.peerDown(ev)
	case PeerMessage:
		r.peerMessage(ev)
	case DrainRequested:
		r.drainRequested()
	case Tick:
		r.tick()
	}
	return r.effects
}

func (r *Router) tick() {
	r.tickStore()
	r.tickMembers()
	r.tickLoads()
	r.tickRelay()
	r.tickAwaitingCalls()
	r.tickPoison()
	r.tickRateLimits()
	r.tickNotices()
	r.tickWarmUps()
	r.tickTokens()
	r.tickStreams()
	r.tickAlike()
	r.tickRetries()
	r.tickWaiting()
	r.tickDrain()
}

func (r *Router) emit(e Effect) { r.effects = append(r.effects, e) }
