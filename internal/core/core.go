// Package core takes all decisions of one instance. It is a state machine: Step takes the
// time and an event, updates the state and returns the effects that the daemon carries out.
//
// It contains no I/O, goroutine, clock or unseeded randomness: the same sequence of events
// with the same times and seed gives the same effects, so that a session can be replayed.
//
// An instance has these roles, each built on a coordination package of the fleet:
//
//   - entry: accepts callers' requests and selects an engine for each.
//   - home: admits attempts to an engine. Each engine has one home at a time, assigned by
//     rendezvous hashing over the instances of the engine's region.
//   - claim owner: batches and stores the claims of a partition of the idempotency keys. A
//     non-idempotent call runs only on the instance that holds the claim of its key. If claims
//     are unavailable, it runs only if all engines of the service check the keys themselves.
//   - rate owner: hands out a customer's rate tokens to the entries of its region.
//   - member: reads the instance list and exchanges heartbeats and configuration with peers.
//   - duty holder: sends orders to the region's engines while it holds the region's lease.
package core

import (
	"math/rand/v2"
	"time"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/membership"
	"github.com/bilberrywell/bilberrywell/quarantine"
	"github.com/bilberrywell/bilberrywell/retry"
)

// Config describes the instance and its limits. Zero limits take the defaults.
type Config struct {
	Instance    fleet.InstanceID
	Incarnation uint64
	DataCentre  fleet.DataCentre
	Region      fleet.Region
	PeerAddr    string
	Release     string
	// Seed seeds the generator of all random choices, such as jitter, nonces and the peers
	// from which configuration is fetched.
	Seed uint64
	// HeartbeatInterval is the shortest regular interval of heartbeats. Heartbeats that announce
	// changed load are sent earlier. Default 1 s.
	HeartbeatInterval time.Duration
	// ControlBudget is the bytes per second for control messages. Default 12,288.
	ControlBudget int
	// QueueRetryInterval is the time for which a request waits in one engine's queue before other
	// engines are asked again. Default 200 ms.
	QueueRetryInterval time.Duration
	// TakeoverWindow is the longest time in which a new home admits only TakeoverShare of an
	// engine's bound. Defaults 5 s and 0.25.
	TakeoverWindow time.Duration
	TakeoverShare  float64
	// BalancerGrace is the time after the instance reports not ready in which the load
	// balancer may still send callers. Default 2 s.
	BalancerGrace time.Duration
	// ClaimRetention is how long finished claims are kept, and ClaimBatchDelay the time between
	// batched writes of claims. Defaults 24 h and 20 ms.
	ClaimRetention  time.Duration
	ClaimBatchDelay time.Duration
	// ProbeInterval is the time between probes of an engine by its home. Default 1 s.
	ProbeInterval time.Duration
}

func (c *Config) setDefaults() {
	setDuration(&c.HeartbeatInterval, time.Second)
	setDuration(&c.QueueRetryInterval, 200*time.Millisecond)
	setDuration(&c.TakeoverWindow, 5*time.Second)
	setDuration(&c.BalancerGrace, 2*time.Second)
	setDuration(&c.ClaimRetention, 24*time.Hour)
	setDuration(&c.ClaimBatchDelay, 20*time.Millisecond)
	setDuration(&c.ProbeInterval, time.Second)
	if c.ControlBudget <= 0 {
		c.ControlBudget = 12 << 10
	}
	if c.TakeoverShare <= 0 {
		c.TakeoverShare = 0.25
	}
}

func setDuration(d *time.Duration, fallback time.Duration) {
	if *d <= 0 {
		*d = fallback
	}
}

// Core is the state of one instance. It is not safe for concurrent use.
type Core struct {
	cfg Config
	now Instant
	// effects holds the effects of the current step.
	effects []Effect
	// selfMessages holds messages of the instance to itself, which are handled within the same step.
	selfMessages []wire.Message
	rng          *rand.Rand

	// snapshot is the configuration in force, or nil; pools and engines are built from it.
	snapshot *config.Snapshot
	pools    map[fleet.ServiceID]*pool
	engines  map[fleet.EngineID]*engineInfo

	entry       entryState
	retryBudget retry.Budget
	// quarantine counts strikes. A strike is a crash of an engine while a request with a certain
	// fingerprint ran on it; fingerprints with enough strikes are refused for a time.
	quarantine *quarantine.Tracker
	rates      rateState
	homes      homeState
	claims     claimState
	// view is the membership view: the instances that are live and those that drain.
	view          *membership.View
	members       memberState
	configuration configState
	duties        dutyState
	drain         drainState
	operations    operationTable
}

// New returns the state machine of an instance without configuration or peers.
func New(cfg Config) *Core {
	cfg.setDefaults()
	c := &Core{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		quarantine: quarantine.New(quarantine.Config{}),
		engines:    make(map[fleet.EngineID]*engineInfo),
		pools:      make(map[fleet.ServiceID]*pool),
	}
	self := membership.Instance{ID: cfg.Instance, Addr: cfg.PeerAddr, DataCentre: cfg.DataCentre, Region: cfg.Region}
	c.view = membership.New(self, cfg.Incarnation, membership.Config{Interval: cfg.HeartbeatInterval})
	c.entry.init()
	c.rates.init(cfg.Incarnation)
	c.homes.init(c)
	c.claims.init()
	c.members.init()
	c.configuration.init()
	c.duties.init(c)
	c.operations.init()
	return c
}

// Step handles an event and returns the effects to carry out, in order. The slice is valid
// until the next call.
func (c *Core) Step(now Instant, ev Event) []Effect {
	c.now = now
	c.effects = c.effects[:0]
	c.handle(ev)
	for len(c.selfMessages) > 0 {
		m := c.selfMessages[0]
		c.selfMessages = c.selfMessages[1:]
		c.handleMessage(c.cfg.Instance, c.cfg.Incarnation, m)
	}
	return c.effects
}

func (c *Core) handle(ev Event) {
	switch ev := ev.(type) {
	case RequestArrived:
		c.requestArrived(ev)
	case CallerDisconnected:
		c.callerDisconnected(ev)
	case FirstByte:
		c.firstByte(ev)
	case AttemptEnded:
		c.attemptEnded(ev)
	case PeerUp:
		c.peerUp(ev)
	case PeerDown:
		c.peerDown(ev)
	case PeerMessage:
		c.peerMessage(ev)
	case InstanceList:
		c.instanceList(ev)
	case StoreReply:
		c.storeReply(ev)
	case LeaseReply:
		c.leaseReply(ev)
	case EngineReport:
		c.engineReport(ev)
	case CacheEvents:
		c.cacheEvents(ev)
	case OrderReply:
		c.orderReply(ev)
	case ChatMoved:
		c.chatMoved(ev)
	case ConfigPublished:
		c.configPublished(ev)
	case DrainRequested:
		c.drainRequested()
	case DrainDeadlinePassed:
		c.drainDeadlinePassed()
	case Tick:
		c.tick()
	}
}

// handleMessage dispatches a message from a peer or from the instance itself.
func (c *Core) handleMessage(from fleet.InstanceID, incarnation uint64, m wire.Message) {
	switch m := m.(type) {
	case *wire.Heartbeat:
		c.heartbeatReceived(from, incarnation, m)
	case *wire.Admit:
		c.admitRequested(from, m)
	case *wire.AdmitReply:
		c.admitReplied(from, m)
	case *wire.ChatPlacement:
		c.homes.placements.add(m.First, m.Chat, m.Engine)
	case *wire.Release:
		c.attemptReleased(from, m)
	case *wire.Register:
		c.attemptsRegistered(from, m)
	case *wire.RegisterRequest:
		c.registrationRequested(from, m)
	case *wire.RegisterDone:
		c.registrationDone(from, m)
	case *wire.RateRequest:
		c.rateRequested(from, m)
	case *wire.RateGrant:
		c.rateGranted(from, m)
	case *wire.ClaimRequest:
		c.claimRequested(from, incarnation, m)
	case *wire.ClaimReply:
		c.claimReplied(from, m)
	case *wire.ClaimFinish:
		c.claimFinished(from, m)
	case *wire.Strike:
		c.strikeReceived(from, m)
	case *wire.ConfigRequest:
		c.configRequested(from, m)
	case *wire.ConfigManifest:
		c.manifestReceived(from, m)
	case *wire.BlobRequest:
		c.blobsRequested(from, m)
	case *wire.Blob:
		c.blobReceived(m)
	case *wire.EngineState:
		c.engineStateReceived(m)
	}
}

func (c *Core) tick() {
	c.tickMembers()
	c.tickConfig()
	c.tickEntry()
	c.tickRates()
	c.tickHomes()
	c.tickClaims()
	c.tickDuties()
	c.tickDrain()
}

// emit adds an effect to the result of the current step.
func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) count(counter Counter, n uint64) {
	if n > 0 {
		c.emit(AddToCounter{Counter: counter, N: n})
	}
}

// send sends a message to an instance. A message to the instance itself is handled within the same step.
func (c *Core) send(to fleet.InstanceID, m wire.Message) {
	if to == c.cfg.Instance {
		c.selfMessages = append(c.selfMessages, m)
		return
	}
	c.emit(SendMessage{To: to, Message: m})
}

// mono returns the monotonic time of the current event, counted from the process start.
func (c *Core) mono() time.Duration { return c.now.Mono }

// jitter returns a duration in [d/2, d].
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rng.Int64N(int64(d/2)+1))
}
