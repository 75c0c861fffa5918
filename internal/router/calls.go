package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/routing"
	"github.com/bilberrywell/bilberrywell/versions"
)

const (
	// maxTries bounds the engines that are tried for one request, including those that did not run it.
	maxTries = 4
	// firstConfigTimeout is how long a request waits for the first configuration, and firstConfigShare the
	// largest part of its caller's time. An instance alone reads the configuration within about 50 ms; after a
	// restart of 95 instances those with a fifth of a core need 450 ms. A refused caller comes back after
	// noConfigRetryAfter, so that waiting is better for it.
	firstConfigTimeout = 600 * time.Millisecond
	firstConfigShare   = 0.25
	// lostConfigTimeout is how long a request waits if the store can't be read: peers may have a configuration.
	lostConfigTimeout = 150 * time.Millisecond
	// noConfigRetryAfter is the Retry-After of requests that are refused for lack of a configuration,
	// which is read within milliseconds once the store responds.
	noConfigRetryAfter = 500 * time.Millisecond
	// noEngineRetryAfter is the Retry-After of requests that no engine accepted. A failed engine is
	// tried again after half a second.
	noEngineRetryAfter = 300 * time.Millisecond
	// limitRetrySpread is the time over which callers return whose requests the rate limits of engines did
	// not admit.
	limitRetrySpread = time.Second
	// quietRetrySpread is the time over which callers return whose requests no engine wanted.
	quietRetrySpread = 300 * time.Millisecond
	// quarantineRetryAfter is the Retry-After of requests that are refused because they would crash their
	// engine. It is longer than callers wait.
	quarantineRetryAfter = 2 * time.Minute
	// maxUrgency is the least urgent rank that engines accept.
	maxUrgency = 9
	// defaultTimeout applies to requests without a timeout of their route or caller.
	defaultTimeout = 30 * time.Second
	// minRetryTime is the least remaining time with which another attempt is made.
	minRetryTime = 20 * time.Millisecond
)

// call is the state of a caller's request at the instance that accepted it.
type call struct {
	Call
	route    *routing.Route
	customer fleet.CustomerID
	urgency  int
	service  fleet.ServiceID
	// deadline is when the request must have its final response.
	deadline time.Duration

	// attempt is the last attempt, or the older one of two.
	attempt
	// beside is the attempt that was sent while the engine of the older one is silent, or nil.
	beside *attempt
	// released reports whether the request has ended and only an attempt that was superseded is left.
	released bool
	// triedEngines lists the engines of earlier attempts.
	triedEngines []fleet.EngineID
	// deniedEngines lists the engines for which the owners of their rate limits did not admit the request,
	// and asks counts the owners that were asked.
	deniedEngines []fleet.EngineID
	asks          int
	// reachedAttempts counts the attempts that reached an engine, possibleRuns those that may have run.
	reachedAttempts, possibleRuns int
	// retryCounted is set from the time when the next attempt is counted in the retry budget until it is sent.
	retryCounted bool
	// lastFailedAlike reports whether the last attempt ended with a failure that other engines may share.
	lastFailedAlike bool
	// partDelivered reports whether a part of a response has reached the caller.
	partDelivered bool
	// origin is what began the stream of which the caller has a part, or nil while the caller has none.
	origin *versions.Origin
	// originKept is set once this instance remembers the origin.
	originKept bool
	// endsWithoutID reports whether the last event of that part has no id.
	endsWithoutID bool
	// heldFrom is the engine whose failure response is held back, or empty.
	heldFrom fleet.EngineID
	wait     callWait
}

func (r *Router) callArrived(ev CallArrived) *call {
	c := &call{Call: ev.Call}
	r.calls[c.ID] = c
	if r.canRoute() {
		r.startCall(c)
	} else {
		r.awaitingConfig = append(r.awaitingConfig, c)
	}
	return c
}

// startAwaitingCalls starts the requests that arrived before the instance could route.
func (r *Router) startAwaitingCalls() {
	waiting := r.awaitingConfig
	r.awaitingConfig = nil
	for _, c := range waiting {
		// Calls whose caller has disconnected are no longer listed.
		if r.calls[c.ID] == c {
			r.startCall(c)
		}
	}
}

// tickAwaitingCalls refuses requests that have waited for a configuration for too long.
func (r *Router) tickAwaitingCalls() {
	waiting := r.awaitingConfig[:0]
	for _, c := range r.awaitingConfig {
		switch {
		case r.calls[c.ID] != c:
		case r.now-c.Arrived < r.configWait(c):
			waiting = append(waiting, c)
		default:
			r.refuse(c, NotRun, "no_configuration", noConfigRetryAfter)
		}
	}
	r.awaitingConfig = waiting
}

// configWait returns how long a request waits for the first configuration.
func (r *Router) configWait(c *call) time.Duration {
	if r.drainOver() {
		return 0
	}
	wait := firstConfigTimeout
	if r.store.lost {
		wait = lostConfigTimeout
	}
	if c.CallerTimeout > 0 {
		wait = min(wait, time.Duration(firstConfigShare*float64(c.CallerTimeout)))
	}
	return wait
}

// startCall routes a request and sends it to its first engine.
func (r *Router) startCall(c *call) {
	if r.table == nil {
		r.refuse(c, NotRun, "no_configuration", noConfigRetryAfter)
		return
	}
	c.route = r.table.Lookup(c.Host, c.Path)
	if c.route == nil {
		r.refuse(c, UnknownRoute, "no_route", 0)
		return
	}
	if !r.authenticate(c) {
		r.refuse(c, UnknownKey, "unknown_key", 0)
		return
	}
	c.deadline = c.Arrived + r.timeLimit(c)
	c.service = c.route.PickService(uint64(c.Prompt))
	if trait, refused := r.poison.detector.Check(r.now, c.traits()); refused {
		r.logDecision(c, "quarantine_matched", "trait", hexHash(trait))
		r.refuse(c, NotRun, "quarantined", quarantineRetryAfter)
		return
	}
	if pool := r.pools[c.service]; pool != nil {
		pool.budget.CountFirst(r.now)
		pool.demand.add(r.now)
	}
	r.countArrival(c)
	if r.findsOrigin(c) {
		r.place(c)
	}
}

// authenticate sets the customer and the urgency of a request. It returns false if the route requires
// an API key and the request has none that is configured.
func (r *Router) authenticate(c *call) bool {
	c.urgency = c.route.Priority
	if !r.table.RequiresKey {
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

// urgencyRanks is the number of priorities of routes that are told apart among the requests of equally urgent customers.
const urgencyRanks = 3

// rank orders requests by the priority of their customer and then by that of their route; 0 is the most urgent. A
// customer's priority takes precedence over the route's, but does not make its kinds of request equal.
func (c *call) rank() int {
	return urgencyRanks*min(max(c.urgency, 0), maxUrgency) + min(max(c.route.Priority, 0), urgencyRanks-1)
}

// engineUrgency returns the urgency with which a request is sent to an engine.
func (r *Router) engineUrgency(c *call) int {
	if r.cfg.LoadControl {
		return min(c.rank(), maxUrgency)
	}
	return min(max(c.urgency, 0), maxUrgency)
}

// timeLimit returns the time that a request may take: the shorter of the route's and the caller's
// timeouts.
func (r *Router) timeLimit(c *call) time.Duration {
	limit := c.route.Timeout
	if limit <= 0 || c.CallerTimeout > 0 && c.CallerTimeout < limit {
		limit = c.CallerTimeout
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	return limit
}

// place chooses an engine for a request and sends it there.
func (r *Router) place(c *call) {
	if !r.endsInTime(c) {
		r.giveUpFor(c, "stopping", stoppingRetryAfter)
		return
	}
	pool := r.pools[c.service]
	if pool == nil || len(c.triedEngines) >= maxTries {
		r.giveUp(c, "no_engine")
		return
	}
	if !r.canGoOn(c, pool) {
		r.giveUpFor(c, "stream_version_gone", 0)
		return
	}
	if c.reachedAttempts > 0 && !r.takeRetry(c, pool) {
		r.giveUp(c, "retry_budget")
		return
	}
	if r.noRoom(c, pool) {
		r.enqueue(c, pool)
		return
	}
	request := r.placementRequest(c)
	if r.loads.poolsStale {
		r.updatePoolLoads()
	}
	choice, ok := pool.engines.Choose(r.now, request)
	switch {
	case !ok:
		r.refuseUnplaced(c, pool, request)
	case choice.Owner != "":
		r.askToken(c, choice, "")
	case r.mustWait(c, pool, choice):
		r.enqueue(c, pool)
	default:
		r.send(c, pool, choice)
	}
}

// giveUp refuses a request for which no further attempt is possible.
func (r *Router) giveUp(c *call, code string) { r.giveUpFor(c, code, noEngineRetryAfter) }

// giveUpFor refuses a request for which no further attempt is possible before retryAfter.
func (r *Router) giveUpFor(c *call, code string, retryAfter time.Duration) {
	if c.possibleRuns > 0 {
		r.refuse(c, MayHaveRun, code, 0)
		return
	}
	r.refuse(c, NotRun, code, retryAfter)
}

func (r *Router) refuse(c *call, refusal Refusal, code string, retryAfter time.Duration) {
	if c.heldFrom != "" && !c.partDelivered {
		// The engine's own failure response tells the caller more than a refusal.
		r.logDecision(c, "failure_delivered", "engine", c.heldFrom, "code", code, "runs", c.possibleRuns, "tries", len(c.triedEngines),
			"age_ms", (r.now - c.Arrived).Milliseconds(), "config", r.configVersion())
		r.deliver(c)
		return
	}
	r.emit(Refuse{Call: c.ID, Refusal: refusal, Code: code, RetryAfter: retryAfter})
	fields := []any{"code", code, "host", c.Host, "path", c.Path, "runs", c.possibleRuns, "tries", len(c.triedEngines),
		"age_ms", (r.now - c.Arrived).Milliseconds(), "config", r.configVersion()}
	if code == "overloaded" {
		fields = append(fields, r.expectationFields(c)...)
	}
	r.logDecision(c, "call_refused", fields...)
	r.finish(c, code)
}

// release ends a request whose caller has the whole response, or has disconnected.
func (r *Router) release(c *call, o Outcome) {
	r.emit(Release{Call: c.ID, Complete: o == Completed})
	r.finish(c, o.String())
}

// finish reports and removes a request that has ended.
func (r *Router) finish(c *call, result string) {
	ended := CallDone{Result: result, Took: r.now - c.Arrived}
	if c.route != nil {
		ended.Kind = c.route.Kind
	}
	r.emit(ended)
	r.unqueue(c)
	delete(r.delayed.pending, c.ID)
	if c.released = true; !c.running {
		delete(r.calls, c.ID)
	}
}

// callerDisconnected ends a request whose caller disconnected while no attempt was running. An attempt that was sent at
// the same time ends by itself.
func (r *Router) callerDisconnected(ev CallerDisconnected) {
	if c := r.calls[ev.Call]; c != nil && !c.running {
		r.logDecision(c, "caller_left")
		r.release(c, CallerLeft)
	}
}

func (r *Router) logDecision(c *call, kind string, fields ...any) {
	r.emit(Decision{Kind: kind, RequestID: c.RequestID, Fields: fields})
}
