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

// EngineConfig describes the fake of a model engine or a plain service's replica.
type EngineConfig struct {
	// Prefill is the time to the first token without a cached prefix; WarmPrefill with one.
	Prefill, WarmPrefill time.Duration
	// PerToken is the time between tokens.
	PerToken time.Duration
	// CacheChats is the number of chats whose prefix fits in the cache.
	CacheChats int
	// RestartTime is the time from a crash until the engine serves again. Default 2 s.
	RestartTime time.Duration
	// EventLag is the age of the served cache events.
	EventLag time.Duration
	// DropEvents drops each n-th cache event when positive.
	DropEvents int
	// ChecksFence tells that the engine refuses orders with an old fencing number.
	ChecksFence bool
}

// Engine is the fake of one engine.
type Engine struct {
	ID fleet.EngineID
	EngineConfig
	// Up is false while the engine is down.
	Up bool
	// Frozen makes new streams silent without an end.
	Frozen bool
	// Refuse makes the engine refuse requests before they run.
	Refuse bool
	// Poison lists the fingerprints that crash the engine.
	Poison map[fleet.Fingerprint]bool
	// Starts records the time of each run's start.
	Starts []time.Duration
	// Effects counts the effects of non-idempotent calls by idempotency key.
	Effects map[string]int
	// Crashes counts crashes.
	Crashes int
	// Orders records the accepted orders.
	Orders []core.SendOrder
	// Cut counts runs that ended before their last token other than by a crash.
	Cut int

	h           *Harness
	incarnation uint64
	// granted counts attempts on their way to the engine.
	granted  int
	running  map[*run]bool
	cache    *list.List
	cached   map[fleet.ChatKey]*list.Element
	events   []cacheEvent
	eventSeq uint64
	fence    uint64
}

type cacheEvent struct {
	at time.Duration
	core.CacheEvent
}

// run is one attempt on an engine.
type run struct {
	engine  *Engine
	node    *Node
	call    *Call
	cmd     core.StartAttempt
	process uint64
	cached  bool
	first   time.Duration
	silent  bool
	gone    bool
	// done is set for a run without an instance.
	done func()
}

// AddEngine adds an engine that is up.
func (h *Harness) AddEngine(id fleet.EngineID, cfg EngineConfig) *Engine {
	setDefault(&cfg.RestartTime, 2*time.Second)
	e := &Engine{
		ID: id, EngineConfig: cfg, Up: true, h: h, incarnation: 1,
		Poison:  make(map[fleet.Fingerprint]bool),
		Effects: make(map[string]int),
		running: make(map[*run]bool),
	}
	e.clearCache()
	h.Engines[id] = e
	return e
}

func (e *Engine) clearCache() {
	e.cache = list.New()
	e.cached = make(map[fleet.ChatKey]*list.Element)
	e.events = nil
	e.eventSeq = 0
}

// InFlight returns the number of runs.
func (e *Engine) InFlight() int { return len(e.running) }

// startAttempt sends a request to an engine.
func (n *Node) startAttempt(cmd core.StartAttempt) {
	call := n.requests[cmd.Request]
	engine := n.h.Engines[cmd.Target.Engine]
	if call == nil || engine == nil {
		return
	}
	incarnation := n.incarnation
	engine.granted++
	n.h.After(n.h.Config.Latency, func() {
		engine.granted--
		if n.incarnation == incarnation && n.Up {
			engine.begin(n, call, cmd)
		}
	})
}

func (e *Engine) begin(n *Node, call *Call, cmd core.StartAttempt) {
	if !e.Up || e.Refuse {
		n.reply(e.h.Config.Latency, core.AttemptEnded{Request: cmd.Request, Attempt: cmd.Attempt, Result: wire.ResultNotRun})
		return
	}
	r := &run{engine: e, node: n, call: call, cmd: cmd, process: n.incarnation}
	e.book(r)
	if e.Poison[call.Fingerprint] {
		e.Crash()
		return
	}
	if e.Frozen {
		r.silent = true
		e.h.After(cmd.StallTimeout, func() { r.end(wire.ResultStalled) })
		return
	}
	e.serve(r)
}

// book counts the start of a run.
func (e *Engine) book(r *run) {
	r.call.Runs++
	if r.call.Runs == 1 {
		r.call.FirstRun = e.h.now
	}
	e.Starts = append(e.Starts, e.h.now)
	e.running[r] = true
	if e.h.OnStart != nil {
		e.h.OnStart(e)
	}
}

// serve schedules the first token and the end of a run.
func (e *Engine) serve(r *run) {
	_, r.cached = e.cached[r.call.Chat]
	prefill := e.Prefill
	if r.cached {
		prefill = e.WarmPrefill
	}
	e.touch(r.call.Chat)
	r.first = e.h.now + prefill
	if r.call.delivered == 0 {
		r.call.FirstToken = r.first
	}
	total := prefill + time.Duration(r.call.remaining())*e.PerToken
	if r.call.Key != "" {
		e.h.After(total/2, func() { e.effect(r) })
	}
	e.h.After(total, func() {
		if !r.silent {
			r.end(wire.ResultComplete)
		}
	})
}

// effect books a non-idempotent call. It happens even when its caller has gone since.
func (e *Engine) effect(r *run) {
	if e.Up && (e.running[r] || r.gone) {
		e.Effects[r.call.Key]++
	}
}

// end ends a run and reports it to its entry.
func (r *run) end(result wire.Result) {
	if !r.engine.running[r] {
		return
	}
	delete(r.engine.running, r)
	if result == wire.ResultComplete {
		r.call.delivered = r.call.Tokens
	} else if r.first > 0 && r.engine.h.now > r.first {
		r.call.delivered += min(r.call.remaining(), int((r.engine.h.now-r.first)/r.engine.PerToken))
	}
	ended := core.AttemptEnded{
		Request:   r.cmd.Request,
		Attempt:   r.cmd.Attempt,
		Result:    result,
		Delivered: r.call.delivered > 0,
		Resumable: true,
		Cached:    r.cached,
	}
	if result == wire.ResultComplete && r.call.Key != "" {
		ended.Outcome = &wire.Outcome{Status: 201, Body: []byte(r.call.Key)}
	}
	r.report(ended)
}

func (r *run) report(ended core.AttemptEnded) {
	if r.done != nil {
		r.call.complete(r.cached)
		r.done()
		return
	}
	n := r.node
	n.h.After(n.h.Config.Latency, func() {
		if !n.Up || n.incarnation != r.process {
			return
		}
		if ended.Result == wire.ResultComplete {
			delete(n.requests, ended.Request)
			r.call.complete(ended.Cached)
		}
		n.Step(ended)
	})
}

// Crash breaks all runs and empties the cache. The engine comes back after its restart time.
func (e *Engine) Crash() {
	e.Crashes++
	e.Up = false
	for _, r := range e.sortedRuns() {
		if r.silent {
			delete(e.running, r)
			continue
		}
		r.end(wire.ResultBroken)
	}
	e.h.After(e.RestartTime, e.restart)
}

func (e *Engine) restart() {
	e.incarnation++
	e.clearCache()
	e.Up = true
}

// Freeze makes every open stream silent for good; new streams work.
func (e *Engine) Freeze() {
	for _, r := range e.sortedRuns() {
		r.silent = true
		e.h.After(r.cmd.StallTimeout, func() { r.end(wire.ResultStalled) })
	}
}

func (e *Engine) sortedRuns() []*run {
	runs := make([]*run, 0, len(e.running))
	for r := range e.running {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].cmd.AttemptID < runs[j].cmd.AttemptID })
	return runs
}

// clientGone cancels the runs of an entry whose process ended.
func (e *Engine) clientGone(n *Node) {
	for _, r := range e.sortedRuns() {
		if r.node == n {
			r.gone = true
			delete(e.running, r)
		}
	}
}

// touch moves a chat to the front of the cache and evicts the oldest one over the limit.
func (e *Engine) touch(chat fleet.ChatKey) {
	if e.CacheChats == 0 {
		return
	}
	if element, ok := e.cached[chat]; ok {
		e.cache.MoveToFront(element)
		return
	}
	e.cached[chat] = e.cache.PushFront(chat)
	e.publish(chat, true)
	if e.cache.Len() > e.CacheChats {
		oldest := e.cache.Back()
		e.cache.Remove(oldest)
		evicted := oldest.Value.(fleet.ChatKey)
		delete(e.cached, evicted)
		e.publish(evicted, false)
	}
}

// Cached reports whether the engine holds a chat's prefix.
func (e *Engine) Cached(chat fleet.ChatKey) bool {
	_, ok := e.cached[chat]
	return ok
}

func (e *Engine) publish(chat fleet.ChatKey, stored bool) {
	e.eventSeq++
	if e.DropEvents > 0 && e.eventSeq%uint64(e.DropEvents) == 0 {
		return
	}
	event := core.CacheEvent{Sequence: e.eventSeq, Chat: chat, Stored: stored}
	e.events = append(e.events, cacheEvent{at: e.h.now, CacheEvent: event})
}

var errEngineDown = errors.New("harness: engine is down")

func (e *Engine) probe(n *Node) {
	report := core.EngineReport{Engine: e.ID, InFlight: len(e.running), Incarnation: e.incarnation}
	if len(e.Orders) > 0 {
		last := e.Orders[len(e.Orders)-1]
		report.Model, report.Version, report.Adapters, report.Role = last.Model, last.Version, last.Adapters, last.Role
	}
	if !e.Up {
		report = core.EngineReport{Engine: e.ID, Err: errEngineDown}
	}
	n.reply(2*e.h.Config.Latency, report)
}

func (e *Engine) readEvents(n *Node, after uint64) {
	answer := core.CacheEvents{Engine: e.ID}
	if !e.Up {
		answer.Err = errEngineDown
	}
	for _, event := range e.events {
		if event.Sequence > after && event.at <= e.h.now-e.EventLag {
			answer.Events = append(answer.Events, event.CacheEvent)
		}
	}
	n.reply(2*e.h.Config.Latency, answer)
}

func (e *Engine) order(n *Node, cmd core.SendOrder) {
	reply := core.OrderReply{Engine: e.ID, Fence: cmd.Fence}
	switch {
	case !e.Up:
		reply.Err = errEngineDown
	case e.ChecksFence && cmd.Fence < e.fence:
		reply.Stale = true
		reply.Err = errors.New("harness: stale fencing number")
	default:
		e.fence = max(e.fence, cmd.Fence)
		e.Orders = append(e.Orders, cmd)
	}
	n.reply(2*e.h.Config.Latency, reply)
}

func (h *Harness) moveChat(n *Node, e core.MoveChat) {
	from, to := h.Engines[e.From.Engine], h.Engines[e.To.Engine]
	h.After(20*h.Config.Latency, func() {
		answer := core.ChatMoved{From: e.From.Engine, To: e.To.Engine, Chat: e.Chat}
		if !from.Up || !to.Up || !from.Cached(e.Chat) {
			answer.Err = errEngineDown
		} else {
			to.touch(e.Chat)
		}
		n.reply(h.Config.Latency, answer)
	})
}

// Skew returns the ratio of the largest to the mean number of runs over engines, and the coefficient of variation.
func Skew(engines []*Engine) (maxOverMean, variation float64) {
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
	squares := 0.0
	for _, e := range engines {
		d := float64(e.InFlight()) - mean
		squares += d * d
	}
	return largest / mean, math.Sqrt(squares/float64(len(engines))) / mean
}
