// Package core is the reducer of a daemon: Step takes the time and an event and returns
// effects as data.
//
// It contains no I/O, goroutine, clock or unseeded randomness, so that a session can be
// replayed. It is built from the fleet's coordination packages and plays all roles of an
// instance: entry of requests, home of engines, owner of claim partitions and customer
// rates, member of the fleet and holder of duties.
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
	// Seed seeds all random choices, which are jitter and nonces.
	Seed uint64
	// HeartbeatInterval is the shortest time between heartbeats. Default 1 s.
	HeartbeatInterval time.Duration
	// ControlBudget is the bytes per second for control messages. Default 12,288.
	ControlBudget int
	// Rewalk is the time in one engine's queue after which other engines are tried. Default 200 ms.
	Rewalk time.Duration
	// TakeoverWindow and TakeoverShare limit a new home of an engine. Defaults 5 s and 0.25.
	TakeoverWindow time.Duration
	TakeoverShare  float64
	// BalancerGrace is the time from not ready until the balancer sends no more callers. Default 2 s.
	BalancerGrace time.Duration
	// ClaimRetention and ClaimBatch configure claims. Defaults 24 h and 20 ms.
	ClaimRetention time.Duration
	ClaimBatch     time.Duration
	// ProbeInterval is the time between probes of an engine by its home. Default 1 s.
	ProbeInterval time.Duration
}

func (c *Config) setDefaults() {
	setDuration(&c.HeartbeatInterval, time.Second)
	setDuration(&c.Rewalk, 200*time.Millisecond)
	setDuration(&c.TakeoverWindow, 5*time.Second)
	setDuration(&c.BalancerGrace, 2*time.Second)
	setDuration(&c.ClaimRetention, 24*time.Hour)
	setDuration(&c.ClaimBatch, 20*time.Millisecond)
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
	out []Effect
	// local holds messages of the instance to itself, which are handled within the same step.
	local []wire.Message
	rng   *rand.Rand

	snapshot *config.Snapshot
	pools    map[fleet.ServiceID]*pool
	engines  map[fleet.EngineID]*engineInfo

	entry   entryState
	budget  retry.Budget
	poison  *quarantine.Tracker
	rates   rateState
	homes   homeState
	claims  claimState
	view    *membership.View
	members memberState
	conf    configState
	duties  dutyState
	drain   drainState
	ops     opTable
}

// New returns the reducer of an instance.
func New(cfg Config) *Core {
	cfg.setDefaults()
	c := &Core{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		poison:  quarantine.New(quarantine.Config{}),
		engines: make(map[fleet.EngineID]*engineInfo),
		pools:   make(map[fleet.ServiceID]*pool),
	}
	self := membership.Instance{ID: cfg.Instance, Addr: cfg.PeerAddr, DataCentre: cfg.DataCentre, Region: cfg.Region}
	c.view = membership.New(self, cfg.Incarnation, membership.Config{Interval: cfg.HeartbeatInterval})
	c.entry.init()
	c.rates.init(cfg.Incarnation)
	c.homes.init(c)
	c.claims.init()
	c.members.init()
	c.conf.init()
	c.duties.init(c)
	c.ops.init()
	return c
}

// Step handles an event and returns the effects to carry out, in order. The slice is valid
// until the next call.
func (c *Core) Step(now Instant, ev Event) []Effect {
	c.now = now
	c.out = c.out[:0]
	c.handle(ev)
	for len(c.local) > 0 {
		m := c.local[0]
		c.local = c.local[1:]
		c.handleMessage(c.cfg.Instance, c.cfg.Incarnation, m)
	}
	return c.out
}

func (c *Core) handle(ev Event) {
	switch ev := ev.(type) {
	case RequestArrived:
		c.requestArrived(ev)
	case CallerGone:
		c.callerGone(ev)
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
	case ConfigHandoff:
		c.configHandoff(ev)
	case DrainRequested:
		c.drainRequested()
	case Tick:
		c.tick()
	}
}

// handleMessage dispatches a message of a peer or of the instance itself.
func (c *Core) handleMessage(from fleet.InstanceID, incarnation uint64, m wire.Message) {
	switch m := m.(type) {
	case *wire.Heartbeat:
		c.heartbeatReceived(from, incarnation, m)
	case *wire.Admit:
		c.admitRequested(from, m)
	case *wire.AdmitReply:
		c.admitReplied(from, m)
	case *wire.Placed:
		c.homes.placements.add(m.First, m.Chat, m.Engine)
	case *wire.Release:
		c.grantReleased(from, m)
	case *wire.Register:
		c.attemptsRegistered(from, m)
	case *wire.RegisterAsk:
		c.registrationAsked(from, m)
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

// emit adds an effect.
func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) count(counter Counter, n uint64) {
	if n > 0 {
		c.emit(Count{Counter: counter, N: n})
	}
}

// send sends a message to an instance. A message to the instance itself is handled within the same step.
func (c *Core) send(to fleet.InstanceID, m wire.Message) {
	if to == c.cfg.Instance {
		c.local = append(c.local, m)
		return
	}
	c.emit(SendMessage{To: to, Message: m})
}

// mono returns the monotonic time of the current event.
func (c *Core) mono() time.Duration { return c.now.Mono }

// jitter returns a duration in [d/2, d].
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rng.Int64N(int64(d/2)+1))
}
