// Package router is the reducer of an instance that forwards requests by a directory: routes,
// customers and engines that others keep in the platform's store.
//
// Step takes the time and an event and returns effects as data. It contains no I/O, goroutine,
// clock or unseeded randomness. Every decision about a request is taken at the instance that
// accepted it; instances tell each other what they read from the store, what they run, and which
// requests crash engines.
package router

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/quarantine"
	"github.com/bilberrywell/bilberrywell/registry"
	"github.com/bilberrywell/bilberrywell/replica"
	"github.com/bilberrywell/bilberrywell/retry"
	"github.com/bilberrywell/bilberrywell/routing"
)

// Format decodes the values that other parties keep in the store.
type Format interface {
	// Prefixes returns the key of the configuration and the prefix of the registrations.
	Prefixes() (configuration, registrations string)
	// Configuration decodes the value of the configuration's key.
	Configuration(value []byte) (routing.Config, error)
	// Engine decodes a registration.
	Engine(key string, value []byte) (registry.Engine, error)
}

// Config describes the instance and its limits. Zero limits take the defaults.
type Config struct {
	Instance    fleet.InstanceID
	Incarnation uint64
	DataCentre  fleet.DataCentre
	// Seeds are peer addresses that are tried while the store names no other instance.
	Seeds []string
	// Seed seeds all random choices.
	Seed   uint64
	Format Format

	// RetryRatio, RetryReserve and RetryWindow bound the fleet's extra attempts at a service:
	// at most RetryRatio times its requests plus RetryReserve in any RetryWindow.
	RetryRatio   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// LapseGrace is how long registrations that are missing after the store's return may still
	// come back. Default 2 s.
	LapseGrace time.Duration
	// DrainWait is how long an instance that stops takes new requests, until the balancer has
	// noticed that it is not ready. Default 2.5 s.
	DrainWait time.Duration
	// LoadFactor is the most load of an engine as a multiple of the mean of its pool. Default 1.5.
	LoadFactor float64
}

func (c *Config) setDefaults() {
	c.RetryRatio = cmp.Or(c.RetryRatio, 0.1)
	c.RetryWindow = cmp.Or(c.RetryWindow, 10*time.Second)
	c.LapseGrace = cmp.Or(c.LapseGrace, 2*time.Second)
	c.DrainWait = cmp.Or(c.DrainWait, 2500*time.Millisecond)
}

// Router is the state of one instance. It is not safe for concurrent use.
type Router struct {
	cfg Config
	now time.Duration
	out []Effect
	rng *rand.Rand

	facts    *replica.Replica
	registry *registry.Registry
	table    *routing.Table
	pools    map[fleet.ServiceID]*servicePool
	routes   map[string]*routeStats

	calls map[CallID]*call
	// early holds requests that arrived before the first configuration.
	early   []*call
	poison  poisonState
	members memberState
	loads   loadState
	store   storeState
	// expelled holds when engines that were expelled may come back if they are still registered.
	expelled map[fleet.EngineID]time.Duration
	relays   relayState
	drain    drainState
	ready    bool
}

// servicePool is a service's engines with the budget for extra attempts at them.
type servicePool struct {
	engines *placement.Pool
	budget  retry.Window
}

// New returns the reducer of an instance.
func New(cfg Config) *Router {
	cfg.setDefaults()
	r := &Router{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		registry: registry.New(registry.Config{LapseGrace: cfg.LapseGrace}),
		pools:    make(map[fleet.ServiceID]*servicePool),
		routes:   make(map[string]*routeStats),
		calls:    make(map[CallID]*call),
		expelled: make(map[fleet.EngineID]time.Duration),
	}
	r.facts = replica.New(r.meaning)
	r.poison.init()
	r.members.init()
	r.relays.init()
	r.arrange()
	return r
}

// Reconfigure takes limits that may change while the process runs.
func (r *Router) Reconfigure(cfg Config) {
	cfg.setDefaults()
	r.cfg.RetryRatio, r.cfg.RetryReserve, r.cfg.RetryWindow = cfg.RetryRatio, cfg.RetryReserve, cfg.RetryWindow
	r.cfg.Seeds = cfg.Seeds
	r.shareBudgets()
}

// Step handles an event and returns the effects to carry out, in order. The slice is valid until
// the next call.
func (r *Router) Step(now time.Duration, ev Event) []Effect {
	r.now = now
	r.out = r.out[:0]
	switch ev := ev.(type) {
	case CallArrived:
		r.callArrived(ev)
	case AttemptAnswered:
		r.attemptAnswered(ev)
	case AttemptEnded:
		r.attemptEnded(ev)
	case CallerGone:
		r.callerGone(ev)
	case EngineChecked:
		r.engineChecked(ev)
	case KeysListed:
		r.keysListed(ev)
	case KeysChanged:
		r.keysChanged(ev)
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
	return r.out
}

func (r *Router) tick() {
	r.tickStore()
	r.tickMembers()
	r.tickLoads()
	r.tickRelay()
	r.tickEarly()
	r.poison.tracker.Tick(r.now)
	r.tickDrain()
}

func (r *Router) emit(e Effect) { r.out = append(r.out, e) }

// poisonConfig quarantines a request after it was in flight at three crashes: with two, requests
// that were merely near a crash twice would be refused.
var poisonConfig = quarantine.Config{Threshold: 3, StrikeLife: 2 * time.Minute, Hold: 2 * time.Minute}
