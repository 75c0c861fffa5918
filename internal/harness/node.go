package harness

import (
	"time"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/platform"
)

// Node is one instance: a reducer whose effects are carried out on the harness's fakes.
type Node struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentre
	Region     fleet.Region
	Core       *core.Core
	// Up is false while the process is down. A paused process is up.
	Up      bool
	Ready   bool
	Drained bool
	// Version is the version of the configuration in force. Versions lists all versions that
	// were in force, in order, with a zero for each start of the process.
	Version  uint64
	Versions []uint64
	Counters map[core.Counter]uint64
	Records  []Record

	h                *Harness
	incarnation      uint64
	startedAt        time.Duration
	versionAdoptedAt time.Duration
	holdsDuty        bool
	pausedUntil      time.Duration
	peers            map[fleet.InstanceID]bool
	requests         map[core.RequestID]*Call
	lastRequest      core.RequestID
}

// Record is a timeline event of a node and the virtual time at which it was recorded.
type Record struct {
	At time.Duration
	core.RecordEvent
}

// AddNode adds an instance to the platform's instance list and starts it.
func (h *Harness) AddNode(id fleet.InstanceID, dc fleet.DataCentre, region fleet.Region) *Node {
	n := &Node{ID: id, DataCentre: dc, Region: region, h: h}
	h.Nodes = append(h.Nodes, n)
	h.Store.SetListed(n, true, false)
	n.Start()
	return n
}

// Start starts the instance's process with empty state.
func (n *Node) Start() {
	n.h.lastDisruption = n.h.Now()
	n.incarnation++
	cfg := n.h.Config.Core
	cfg.Instance = n.ID
	cfg.Incarnation = n.incarnation
	cfg.DataCentre = n.DataCentre
	cfg.Region = n.Region
	cfg.PeerAddr = string(n.ID)
	cfg.Seed = n.h.Rand.Uint64()
	n.Core = core.New(cfg)
	n.Up, n.Ready, n.Drained = true, false, false
	n.Version = 0
	n.holdsDuty = false
	n.Versions = append(n.Versions, 0)
	n.startedAt = n.h.Now()
	n.peers = make(map[fleet.InstanceID]bool)
	n.requests = make(map[core.RequestID]*Call)
	if n.Counters == nil {
		n.Counters = make(map[core.Counter]uint64)
	}
	n.scheduleTick(n.incarnation, time.Duration(n.h.Rand.Int64N(int64(n.h.Config.Tick))))
}

func (n *Node) scheduleTick(incarnation uint64, d time.Duration) {
	n.h.After(d, func() {
		if !n.Up || n.incarnation != incarnation {
			return
		}
		n.Step(core.Tick{})
		n.scheduleTick(incarnation, n.h.Config.Tick)
	})
}

// Kill ends the process without a drain. Its callers lose their connections, its peer links
// close, and its runs on engines are cancelled.
func (n *Node) Kill() {
	n.h.lastDisruption = n.h.Now()
	n.Up = false
	n.Ready = false
	for _, call := range n.requests {
		call.loseConnection()
	}
	n.requests = nil
	n.h.closeLinks(n)
	for _, engine := range n.h.Engines {
		engine.cancelRunsOf(n)
	}
}

// Pause suspends the process for a time. If the pause is longer than linkSilence, its peers
// close their links to it after linkSilence.
func (n *Node) Pause(d time.Duration) {
	n.pausedUntil = n.h.Now() + d
	n.h.lastDisruption = n.h.Now()
	n.h.After(d, func() { n.h.lastDisruption = n.h.Now() })
	if d > linkSilence {
		n.h.After(linkSilence, func() { n.h.closeLinks(n) })
	}
}

// Step feeds an event to the reducer and carries out the effects. While the process is
// paused, events wait until the pause ends and ticks are dropped.
func (n *Node) Step(ev core.Event) {
	if !n.Up {
		return
	}
	if wait := n.pausedUntil - n.h.Now(); wait > 0 {
		if _, tick := ev.(core.Tick); !tick {
			incarnation := n.incarnation
			n.h.After(wait, func() { n.stepIncarnation(incarnation, ev) })
		}
		return
	}
	n.h.Events++
	instant := core.Instant{Mono: n.h.Now() - n.startedAt, Wall: n.h.WallTime()}
	// The reducer reuses the returned slice in its next step. This is safe because execute
	// never steps this node synchronously.
	for _, effect := range n.Core.Step(instant, ev) {
		n.execute(effect)
	}
}

// stepIncarnation feeds an event to the reducer unless the given incarnation of the process
// has ended.
func (n *Node) stepIncarnation(incarnation uint64, ev core.Event) {
	if n.Up && n.incarnation == incarnation {
		n.Step(ev)
	}
}

// stepAfter feeds an event to the reducer after a delay, unless the present incarnation of
// the process has ended by then.
func (n *Node) stepAfter(d time.Duration, ev core.Event) {
	incarnation := n.incarnation
	n.h.After(d, func() { n.stepIncarnation(incarnation, ev) })
}

// execute carries out an effect.
func (n *Node) execute(effect core.Effect) {
	switch e := effect.(type) {
	case core.AddToCounter:
		n.Counters[e.Counter] += e.N
	case core.RecordEvent:
		n.trackDuty(e)
		n.Records = append(n.Records, Record{At: n.h.Now(), RecordEvent: e})
	case core.SendMessage:
		n.h.send(n, e)
	case core.SetPeers:
		n.setPeers(e)
	case core.StartAttempt:
		n.startAttempt(e)
	case core.FailRequest:
		n.endRequest(e.Request, func(call *Call) { call.fail(e) })
	case core.ReplayOutcome:
		n.endRequest(e.Request, func(call *Call) { call.replay(e.Outcome) })
	case core.ConfigInForce:
		n.Version = e.Version
		n.versionAdoptedAt = n.h.Now()
		n.Versions = append(n.Versions, e.Version)
	case core.SetReady:
		n.Ready = e.Ready
		n.checkReadyVersion()
	case core.Drained:
		n.Drained = true
	case core.ListInstances:
		rows, err := n.h.Store.list(n)
		n.stepAfter(n.h.Config.StoreLatency, core.InstanceList{Rows: rows, Err: err})
	default:
		n.executeRemote(effect)
	}
}

// executeRemote carries out an effect on the platform or on engines.
func (n *Node) executeRemote(effect core.Effect) {
	switch e := effect.(type) {
	case core.StoreGet:
		n.h.Store.get(n, e)
	case core.StoreSwap:
		n.h.Store.swap(n, e)
	case core.StoreWatch:
		n.h.Store.watch(n, e)
	case core.LeaseAcquire:
		n.h.Store.acquire(n, e)
	case core.LeaseRelease:
		n.h.Store.release(n, e)
	case core.ProbeEngine:
		n.h.Engines[e.Target.Engine].probe(n)
	case core.ReadCacheEvents:
		n.h.Engines[e.Target.Engine].readCacheEvents(n, e.After)
	case core.SendOrder:
		n.h.Engines[e.Target.Engine].applyOrder(n, e)
	case core.MoveChat:
		n.h.moveChat(n, e)
	}
}

// endRequest removes a request, if it is still open, and passes its call to end.
func (n *Node) endRequest(id core.RequestID, end func(*Call)) {
	call := n.requests[id]
	if call == nil {
		return
	}
	delete(n.requests, id)
	end(call)
}

func (n *Node) listRow() platform.Instance {
	return platform.Instance{ID: n.ID, PeerAddr: string(n.ID), DataCentre: n.DataCentre, Region: n.Region}
}

// trackDuty updates holdsDuty from a timeline event.
func (n *Node) trackDuty(e core.RecordEvent) {
	switch e.Kind {
	case "duty_gained":
		n.holdsDuty = true
	case "duty_lost":
		n.holdsDuty = false
	}
}

// HoldsDuty reports whether the instance is up and, by its own timeline events, holds the
// region's lease for engine orders (the orders duty). The lease itself may have expired.
func (n *Node) HoldsDuty() bool { return n.Up && n.holdsDuty }

// Snapshot returns the configuration in force.
func (n *Node) Snapshot() *config.Snapshot { return n.Core.Snapshot() }

// Running reports whether the process is up and not paused.
func (n *Node) Running() bool { return n.Up && n.pausedUntil <= n.h.Now() }

// RunningFor returns the time since the process started or its last pause ended, whichever
// is later.
func (n *Node) RunningFor() time.Duration { return n.h.Now() - max(n.startedAt, n.pausedUntil) }
