package harness

import (
	"container/list"
	"errors"
	"math"
	"sort"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// EngineConfig holds the parameters of a fake model engine or plain service replica.
type EngineConfig struct {
	// Prefill is the time to the first token without a cached prefix, CachedPrefill the time to
	// the first token with one.
	Prefill, CachedPrefill time.Duration
	// PerToken is the time between tokens.
	PerToken time.Duration
	// CacheChats is the number of chats whose prefixes fit in the cache.
	CacheChats int
	// RestartTime is the time from a crash until the engine serves again. Default 2 s.
	RestartTime time.Duration
	// EventLag is the time from a cache event until the engine serves it.
	EventLag time.Duration
	// DropEvents, if positive, drops every n-th cache event.
	DropEvents int
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
}

// Engine is a fake model engine or plain service replica.
type Engine struct {
	ID fleet.EngineID
	EngineConfig
	// Up is false while the engine is down.
	Up bool
	// HangNewStreams makes new streams send no tokens. They end only by their stall time-out.
	HangNewStreams bool
	// RefuseRequests makes the engine refuse requests without running them.
	RefuseRequests bool
	// CrashOn holds the fingerprints of requests that crash the engine when they start.
	CrashOn map[fleet.Fingerprint]bool
	// RunStarts records the start time of each run.
	RunStarts []time.Duration
	// SideEffects counts the executions of non-idempotent calls by idempotency key.
	SideEffects map[string]int
	Crashes     int
	// Orders records the accepted orders.
	Orders []core.SendOrder
	// IncompleteRuns is meant to count the runs that end before their last token for another
	// reason than a crash. It is not maintained at present.
	IncompleteRuns int

	h           *Harness
	incarnation uint64
	// inTransit counts attempts that were sent to the engine and have not arrived.
	inTransit int
	running   map[*run]bool
	// lru holds the keys of the cached chats, the most recently used first.
	lru          *list.List
	cached       map[fleet.ChatKey]*list.Element
	events       []cacheEvent
	eventSeq     uint64
	highestFence uint64
}

type cacheEvent struct {
	at time.Duration
	core.CacheEvent
}

// run is one attempt that an engine executes.
type run struct {
	engine          *Engine
	node            *Node
	call            *Call
	cmd             core.StartAttempt
	nodeIncarnation uint64
	cached          bool
	firstTokenAt    time.Duration
	hung            bool
	instanceEnded   bool
	// onDone, if set, is called at the end of a run that was started by RunDirect.
	onDone func()
}

// AddEngine adds an engine that is up.
func (h *Harness) AddEngine(id fleet.EngineID, cfg EngineConfig) *Engine {
	setDefault(&cfg.RestartTime, 2*time.Second)
	e := &Engine{
		ID: id, EngineConfig: cfg, Up: true, h: h, incarnation: 1,
		CrashOn:     make(map[fleet.Fingerprint]bool),
		SideEffects: make(map[string]int),
		running:     make(map[*run]bool),
	}
	e.clearCache()
	h.Engines[id] = e
	return e
}

func (e *Engine) clearCache() {
	e.lru = list.New()
	e.cached = make(map[fleet.ChatKey]*list.Element)
	e.events = nil
	e.eventSeq = 0
}

// InFlight returns the number of runs in progress.
func (e *Engine) InFlight() int { return len(e.running) }

// startAttempt sends an attempt to its engine.
func (n *Node) startAttempt(cmd core.StartAttempt) {
	call := n.requests[cmd.Request]
	engine := n.h.Engines[cmd.Target.Engine]
	if call == nil || engine == nil {
		return
	}
	incarnation := n.incarnation
	engine.inTransit++
	n.h.After(n.h.Config.Latency, func() {
		engine.inTransit--
		if n.incarnation == incarnation && n.Up {
			engine.startRun(n, call, cmd)
		}
	})
}

// startRun executes an attempt that has arrived at the engine.
func (e *Engine) startRun(n *Node, call *Call, cmd core.StartAttempt) {
	if !e.Up || e.RefuseRequests {
		n.stepAfter(e.h.Config.Latency, core.AttemptEnded{Request: cmd.Request, Attempt: cmd.Attempt, Result: wire.ResultNotRun})
		return
	}
	r := &run{engine: e, node: n, call: call, cmd: cmd, nodeIncarnation: n.incarnation}
	e.recordStart(r)
	if e.CrashOn[call.Fingerprint] {
		e.Crash()
		return
	}
	if e.HangNewStreams {
		r.hung = true
		e.h.After(cmd.StallTimeout, func() { r.finish(wire.ResultStalled) })
		return
	}
	e.scheduleRun(r)
}

// recordStart registers a run with its call and the engine.
func (e *Engine) recordStart(r *run) {
	r.call.Runs++
	if r.call.Runs == 1 {
		r.call.FirstRun = e.h.Now()
	}
	e.RunStarts = append(e.RunStarts, e.h.Now())
	e.running[r] = true
	if e.h.OnRunStart != nil {
		e.h.OnRunStart(e)
	}
}

// scheduleRun sets the time of a run's first token and schedules its end. A non-idempotent
// call takes effect halfway.
func (e *Engine) scheduleRun(r *run) {
	_, r.cached = e.cached[r.call.Chat]
	prefill := e.Prefill
	if r.cached {
		prefill = e.CachedPrefill
	}
	e.touch(r.call.Chat)
	r.firstTokenAt = e.h.Now() + prefill
	if r.call.deliveredTokens == 0 {
		r.call.FirstToken = r.firstTokenAt
	}
	total := prefill + time.Duration(r.call.remainingTokens())*e.PerToken
	if r.call.Key != "" {
		e.h.After(total/2, func() { e.applySideEffect(r) })
	}
	e.h.After(total, func() {
		if !r.hung {
			r.finish(wire.ResultComplete)
		}
	})
}

// applySideEffect counts the execution of a non-idempotent call. The call also takes effect if
// the process of the instance that sent it has ended meanwhile.
func (e *Engine) applySideEffect(r *run) {
	if e.Up && (e.running[r] || r.instanceEnded) {
		e.SideEffects[r.call.Key]++
	}
}

// finish ends a run, if it is still in progress, and reports its result.
func (r *run) finish(result wire.Result) {
	if !r.engine.running[r] {
		return
	}
	delete(r.engine.running, r)
	if result == wire.ResultComplete {
		r.call.deliveredTokens = r.call.Tokens
	} else if r.firstTokenAt > 0 && r.engine.h.Now() > r.firstTokenAt {
		r.call.deliveredTokens += min(r.call.remainingTokens(), int((r.engine.h.Now()-r.firstTokenAt)/r.engine.PerToken))
	}
	ended := core.AttemptEnded{
		Request:   r.cmd.Request,
		Attempt:   r.cmd.Attempt,
		Result:    result,
		Delivered: r.call.deliveredTokens > 0,
		Resumable: true,
		CacheHit:  r.cached,
	}
	if result == wire.ResultComplete && r.call.Key != "" {
		ended.Outcome = &wire.Outcome{Status: 201, Body: []byte(r.call.Key)}
	}
	r.reportEnd(ended)
}

// reportEnd reports the end of a run: to onDone if it is set, otherwise to the instance after
// the latency, unless the instance's process has ended.
func (r *run) reportEnd(ended core.AttemptEnded) {
	if r.onDone != nil {
		r.call.complete(r.cached)
		r.onDone()
		return
	}
	n := r.node
	n.h.After(n.h.Config.Latency, func() {
		if !n.Up || n.incarnation != r.nodeIncarnation {
			return
		}
		if ended.Result == wire.ResultComplete {
			delete(n.requests, ended.Request)
			r.call.complete(ended.CacheHit)
		}
		n.Step(ended)
	})
}

// Crash breaks all runs. The instances get no result of runs that hung. The engine serves again
// after RestartTime, with an empty cache.
func (e *Engine) Crash() {
	e.Crashes++
	e.Up = false
	for _, r := range e.sortedRuns() {
		if r.hung {
			delete(e.running, r)
			continue
		}
		r.finish(wire.ResultBroken)
	}
	e.h.After(e.RestartTime, e.restart)
}

func (e *Engine) restart() {
	e.incarnation++
	e.clearCache()
	e.Up = true
}

// HangOpenStreams makes every open stream stop sending tokens, so that it ends by its stall
// time-out. New streams are not affected.
func (e *Engine) HangOpenStreams() {
	for _, r := range e.sortedRuns() {
		r.hung = true
		e.h.After(r.cmd.StallTimeout, func() { r.finish(wire.ResultStalled) })
	}
}

// sortedRuns returns the runs in progress in a fixed order, to keep sessions deterministic.
func (e *Engine) sortedRuns() []*run {
	runs := make([]*run, 0, len(e.running))
	for r := range e.running {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].cmd.AttemptID < runs[j].cmd.AttemptID })
	return runs
}

// cancelRunsOf cancels the runs of an instance whose process has ended.
func (e *Engine) cancelRunsOf(n *Node) {
	for _, r := range e.sortedRuns() {
		if r.node == n {
			r.instanceEnded = true
			delete(e.running, r)
		}
	}
}

// touch marks a chat as the most recently used in the cache, adding it if necessary, and
// evicts the least recently used chat when the cache is over its limit.
func (e *Engine) touch(chat fleet.ChatKey) {
	if e.CacheChats == 0 {
		return
	}
	if element, ok := e.cached[chat]; ok {
		e.lru.MoveToFront(element)
		return
	}
	e.cached[chat] = e.lru.PushFront(chat)
	e.emitCacheEvent(chat, true)
	if e.lru.Len() > e.CacheChats {
		oldest := e.lru.Back()
		e.lru.Remove(oldest)
		evicted := oldest.Value.(fleet.ChatKey)
		delete(e.cached, evicted)
		e.emitCacheEvent(evicted, false)
	}
}

// Cached reports whether the engine holds a chat's prefix.
func (e *Engine) Cached(chat fleet.ChatKey) bool {
	_, ok := e.cached[chat]
	return ok
}

// emitCacheEvent appends a cache event, unless DropEvents drops it. A dropped event leaves a
// gap in the sequence numbers.
func (e *Engine) emitCacheEvent(chat fleet.ChatKey, stored bool) {
	e.eventSeq++
	if e.DropEvents > 0 && e.eventSeq%uint64(e.DropEvents) == 0 {
		return
	}
	event := core.CacheEvent{Sequence: e.eventSeq, Chat: chat, Stored: stored}
	e.events = append(e.events, cacheEvent{at: e.h.Now(), CacheEvent: event})
}

var errEngineDown = errors.New("harness: engine is down")

// probe answers with the state of the engine, which includes its last accepted order.
func (e *Engine) probe(n *Node) {
	report := core.EngineReport{Engine: e.ID, InFlight: len(e.running), Incarnation: e.incarnation}
	if len(e.Orders) > 0 {
		last := e.Orders[len(e.Orders)-1]
		report.Model, report.Version, report.Adapters, report.Role = last.Model, last.Version, last.Adapters, last.Role
	}
	if !e.Up {
		report = core.EngineReport{Engine: e.ID, Err: errEngineDown}
	}
	n.stepAfter(2*e.h.Config.Latency, report)
}

// readCacheEvents answers with the cache events after a sequence number that are at least
// EventLag old.
func (e *Engine) readCacheEvents(n *Node, after uint64) {
	answer := core.CacheEvents{Engine: e.ID}
	if !e.Up {
		answer.Err = errEngineDown
	}
	for _, event := range e.events {
		if event.Sequence > after && event.at <= e.h.Now()-e.EventLag {
			answer.Events = append(answer.Events, event.CacheEvent)
		}
	}
	n.stepAfter(2*e.h.Config.Latency, answer)
}

// applyOrder accepts or refuses an order and answers.
func (e *Engine) applyOrder(n *Node, cmd core.SendOrder) {
	reply := core.OrderReply{Engine: e.ID, Fence: cmd.Fence}
	switch {
	case !e.Up:
		reply.Err = errEngineDown
	case e.ChecksFence && cmd.Fence < e.highestFence:
		reply.Stale = true
		reply.Err = errors.New("harness: stale fencing number")
	default:
		e.highestFence = max(e.highestFence, cmd.Fence)
		e.Orders = append(e.Orders, cmd)
	}
	n.stepAfter(2*e.h.Config.Latency, reply)
}

// moveChat copies the cached prefix of a chat from one engine to another.
func (h *Harness) moveChat(n *Node, e core.MoveChat) {
	from, to := h.Engines[e.From.Engine], h.Engines[e.To.Engine]
	h.After(20*h.Config.Latency, func() {
		answer := core.ChatMoved{From: e.From.Engine, To: e.To.Engine, Chat: e.Chat}
		if !from.Up || !to.Up || !from.Cached(e.Chat) {
			answer.Err = errEngineDown
		} else {
			to.touch(e.Chat)
		}
		n.stepAfter(h.Config.Latency, answer)
	})
}

// LoadSkew returns the ratio of the largest to the mean number of runs per engine, and the
// coefficient of variation of that number. Both are 0 without runs.
func LoadSkew(engines []*Engine) (maxOverMean, variation float64) {
	sum, largest := 0.0, 0.0
	for _, e := range engines {
		load := float64(e.InFlight())
		sum += load
		largest = max(largest, load)
	}
	if sum == 0 {
		return 0, 0
	}
	mean := sum / float64(len(engines))
	squaredDeviations := 0.0
	for _, e := range engines {
		d := float64(e.InFlight()) - mean
		squaredDeviations += d * d
	}
	return largest / mean, math.Sqrt(squaredDeviations/float64(len(engines))) / mean
}
