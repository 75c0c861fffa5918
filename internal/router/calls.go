package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/routing"
)

const (
	// maxTries bounds the engines that are tried for one request, those that did not run it included.
	maxTries = 4
	// startPatience is how long a request waits for the first configuration. An instance that has
	// just started reads it within about 50 ms, and the balancer may send it callers before.
	startPatience = 150 * time.Millisecond
	// startRetryAfter is the hint while the instance does not know a configuration: it is read
	// within milliseconds once the store answers.
	startRetryAfter = 500 * time.Millisecond
	// loadRetryAfter is the hint while no engine takes the request. A failed engine is tried again
	// after half a second.
	loadRetryAfter = 300 * time.Millisecond
	// maxUrgency is the least urgent rank that engines know.
	maxUrgency = 9
	// defaultTimeout applies to requests without a timeout of their route or caller.
	defaultTimeout = 30 * time.Second
	// minTimeToRepeat is the least time left for which another attempt is worth its cost.
	minTimeToRepeat = 20 * time.Millisecond
)

// call is a caller's request at its entry.
type call struct {
	Call
	route    *routing.Route
	customer fleet.CustomerID
	urgency  int
	service  fleet.ServiceID
	// until is when the request must have its final answer.
	until time.Duration

	engine fleet.EngineID
	reason placement.Reason
	sentAt time.Duration
	// fetched tells that the engine was to fetch the prompt's cache.
	fetched bool
	// tried lists the engines of earlier attempts.
	tried []fleet.EngineID
	// arrivals counts the attempts that reached an engine, runs those that may have run.
	arrivals, runs int
	delivered      bool
	// held is the engine whose failure is held back, or empty.
	held fleet.EngineID
}

func (r *Router) callArrived(ev CallArrived) {
	c := &call{Call: ev.Call}
	r.calls[c.ID] = c
	if !r.informed() {
		r.early = append(r.early, c)
		return
	}
	r.begin(c)
}

// beginEarly begins the requests that arrived before the instance knew where to send them.
func (r *Router) beginEarly() {
	early := r.early
	r.early = nil
	for _, c := range early {
		// The caller may have left.
		if r.calls[c.ID] == c {
			r.begin(c)
		}
	}
}

// tickEarly refuses requests that have waited for a configuration for too long.
func (r *Router) tickEarly() {
	waiting := r.early[:0]
	for _, c := range r.early {
		switch {
		case r.calls[c.ID] != c:
		case r.now-c.Arrived < startPatience:
			waiting = append(waiting, c)
		default:
			r.refuse(c, NotRun, "no_configuration", startRetryAfter)
		}
	}
	r.early = waiting
}

// begin routes a request and sends it to its first engine.
func (r *Router) begin(c *call) {
	if r.table == nil {
		r.refuse(c, NotRun, "no_configuration", startRetryAfter)
		return
	}
	c.route = r.table.Lookup(c.Host, c.Path)
	if c.route == nil {
		r.refuse(c, UnknownRoute, "no_route", 0)
		return
	}
	if !r.identify(c) {
		r.refuse(c, UnknownKey, "unknown_key", 0)
		return
	}
	c.until = c.Arrived + r.timeLimit(c)
	c.service = c.route.Pick(uint64(c.Prompt))
	if r.quarantined(c) {
		r.refuse(c, NotRun, "quarantined", poisonConfig.Hold)
		return
	}
	if pool := r.pools[c.service]; pool != nil {
		pool.budget.First(r.now)
	}
	r.place(c)
}

// identify finds the customer of a request. It is false when the route needs a key and none of
// the configuration's is given.
func (r *Router) identify(c *call) bool {
	c.urgency = c.route.Priority
	if !r.table.Keyed {
		return true
	}
	customer := r.table.Customer(c.APIKey)
	if customer == nil {
		return c.route.Anonymous
	}
	c.customer = customer.ID
	if customer.HasPriority {
		c.urgency = customer.Priority
	}
	return true
}

// timeLimit is the time that a request may take: the shorter of the route's timeout and the
// caller's patience.
func (r *Router) timeLimit(c *call) time.Duration {
	limit := c.route.Timeout
	if limit <= 0 || c.Patience > 0 && c.Patience < limit {
		limit = c.Patience
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	return limit
}

// place chooses an engine for a request and sends it there.
func (r *Router) place(c *call) {
	pool := r.pools[c.service]
	if pool == nil || len(c.tried) >= maxTries {
		r.giveUp(c, "no_engine")
		return
	}
	if c.arrivals > 0 && !pool.budget.Allow(r.now) {
		r.giveUp(c, "retry_budget")
		return
	}
	want := placement.Want{
		DataCentre: r.cfg.DataCentre,
		Exclude:    c.tried,
		Proven:     !c.route.Repeatable(),
	}
	if c.route.Affinity {
		want.Key = uint64(c.Prompt)
	}
	if r.loads.stale {
		r.shareLoads()
	}
	choice, ok := pool.engines.Choose(r.now, want)
	if !ok {
		r.giveUp(c, "no_engine")
		return
	}
	r.send(c, pool, choice)
}

func (r *Router) send(c *call, pool *servicePool, choice placement.Choice) {
	c.engine = choice.Engine.ID
	c.reason = choice.Reason
	c.fetched = choice.FetchFrom != ""
	c.sentAt = r.now
	pool.engines.Started(c.engine)
	first, next := r.stallLimits(c, pool)
	r.emit(Send{
		FirstWithin: first,
		NextWithin:  next,
		Call:        c.ID,
		Engine:      choice.Engine,
		Route:       c.route,
		Customer:    c.customer,
		Urgency:     min(max(c.urgency, 0), maxUrgency),
		FetchFrom:   choice.FetchFrom,
		IdleShare:   r.idleShare(c.service),
		Until:       c.until,
		HoldFailure: r.mayRepeat(c, 1),
		Resume:      c.delivered,
	})
	r.note(c, "attempt_sent", "engine", c.engine, "reason", choice.Reason.String(), "load", choice.Load,
		"mean", choice.Mean, "try", len(c.tried)+1, "config", r.table.Version, "fetch", choice.FetchFrom)
}

// idlePart is the part of an engine's connections that all instances together may keep idle. The rest
// is for requests that run.
const idlePart = 0.75

// idleShare is this instance's part of the idle connections to an engine of a service. Beyond its
// limit an engine resets connections, and a request that was sent on one may have run.
func (r *Router) idleShare(id fleet.ServiceID) float64 {
	service, ok := r.table.Service(id)
	if !ok || service.MaxConnections <= 0 {
		return 0
	}
	return idlePart * float64(service.MaxConnections) / float64(len(r.members.linked)+1)
}

const (
	// stallFactor is the multiple of a route's usual latency from which an answer counts as lost.
	// Work times vary by about half of their mean.
	stallFactor = 3
	// earliestStall and latestStall bound the wait as parts of the route's target latency: another
	// attempt begun later would hardly be on time.
	earliestStall = 0.3
	latestStall   = 0.6
	// gapShare is the part of the longest pause that is on time after which a stream moves on.
	gapShare = 0.75
	// stallReserve is the number of further attempts that must be left in the budget before an
	// engine that may only be slow is given up for another one.
	stallReserve = 3
)

// stallLimits returns how long an attempt waits for the head of the answer and between events. It
// is zero where no other attempt may follow.
func (r *Router) stallLimits(c *call, pool *servicePool) (first, next time.Duration) {
	usual := r.statsOf(c.route.Name).latency
	target := float64(c.route.TargetLatency)
	if !c.route.Repeatable() || !r.mayRepeat(c, 1) || pool.engines.Len() < 2 || usual == 0 || target == 0 ||
		pool.budget.Left(r.now) < stallReserve {
		return 0, 0
	}
	first = time.Duration(min(max(stallFactor*float64(usual), earliestStall*target), latestStall*target))
	return first, time.Duration(gapShare * float64(c.route.TargetGap))
}

// giveUp ends a request for which no attempt is left.
func (r *Router) giveUp(c *call, code string) {
	if c.runs > 0 {
		r.refuse(c, MayHaveRun, code, 0)
		return
	}
	r.refuse(c, NotRun, code, loadRetryAfter)
}

func (r *Router) refuse(c *call, refusal Refusal, code string, retryAfter time.Duration) {
	if c.held != "" && !c.delivered {
		// An engine's own failure says more than a refusal.
		r.note(c, "failure_delivered", "engine", c.held, "code", code, "runs", c.runs, "tries", len(c.tried),
			"age_ms", (r.now - c.Arrived).Milliseconds(), "config", r.version())
		r.deliver(c)
		return
	}
	r.emit(Refuse{Call: c.ID, Refusal: refusal, Code: code, RetryAfter: retryAfter})
	r.note(c, "call_refused", "code", code, "host", c.Host, "path", c.Path, "runs", c.runs, "tries", len(c.tried),
		"age_ms", (r.now - c.Arrived).Milliseconds(), "config", r.version())
	r.done(c, code)
}

// release ends a request that needs no answer.
func (r *Router) release(c *call, result string) {
	r.emit(Release{Call: c.ID})
	r.done(c, result)
}

// done forgets a request that has ended.
func (r *Router) done(c *call, result string) {
	ended := CallDone{Result: result, Took: r.now - c.Arrived}
	if c.route != nil {
		ended.Kind = c.route.Kind
	}
	r.emit(ended)
	delete(r.calls, c.ID)
}

// version returns the version of the configuration in force, or 0 without one.
func (r *Router) version() uint64 {
	if r.table == nil {
		return 0
	}
	return r.table.Version
}

// callerGone ends a request whose caller left while no attempt ran.
func (r *Router) callerGone(ev CallerGone) {
	if c := r.calls[ev.Call]; c != nil {
		r.note(c, "caller_left")
		r.release(c, CallerLeft.String())
	}
}

func (r *Router) note(c *call, kind string, fields ...any) {
	r.emit(Note{Kind: kind, Label: c.Label, Fields: fields})
}
