package router

import (
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/placement"
)

const (
	// stallFactor is the multiple of a route's mean latency after which a response counts as lost.
	// Processing times vary by about half of their mean.
	stallFactor = 3
	// minStallFraction and maxStallFraction bound the wait as fractions of the route's target latency:
	// another attempt that begins later would rarely meet the target.
	minStallFraction = 0.3
	maxStallFraction = 0.6
	// gapFraction is the fraction of the route's target gap between events after which a silent stream
	// is resumed at another engine.
	gapFraction = 0.75
	// stallMinBudget is the number of attempts that must be left in the retry budget for stall timeouts
	// to apply: an engine that exceeds them may only be slow.
	stallMinBudget = 3
)

// stallTimeouts returns how long an attempt waits for the header of the response and between events.
// Both are zero if no other attempt may follow, the route's latency or its target is unknown, or the
// retry budget is low.
func (r *Router) stallTimeouts(c *call, pool *servicePool) (header, gap time.Duration) {
	meanLatency := r.statsOf(c.route.Name).meanLatency
	target := float64(c.route.TargetLatency)
	if !c.route.Repeatable() || !r.mayRetry(c) || pool.engines.Len() < 2 || meanLatency == 0 || target == 0 ||
		pool.budget.Remaining(r.now) < stallMinBudget || !r.retryAllowed(c, pool) {
		return 0, 0
	}
	header = time.Duration(min(max(stallFactor*float64(meanLatency), minStallFraction*target), maxStallFraction*target))
	return header, time.Duration(gapFraction * float64(c.route.TargetGap))
}

// attemptStalled looks for another engine with a free slot for a request whose engine is silent. The engine may only be
// slow, and the other one may reject the request or be lost: the attempt goes on until the other one has begun to
// respond. The report is repeated while the engine stays silent.
func (r *Router) attemptStalled(ev AttemptStalled) {
	c := r.calls[ev.Call]
	if c == nil || !c.running || c.released {
		return
	}
	beside := c.beside != nil && ev.Engine == c.beside.engine
	if !beside && (c.beside != nil || c.engine != ev.Engine) {
		return
	}
	r.recordDelivery(c, ev.Delivered)
	pool := r.pools[c.service]
	if pool == nil || !r.mayReplace(c) || !r.retryAllowed(c, pool) {
		return
	}
	choice, ok := r.chooseReplacement(c, pool)
	switch {
	case !ok:
	case beside:
		// At most two attempts run at once. The next report about the older one finds the third engine.
		r.emit(EndStalledAttempt{Call: c.ID, Engine: c.beside.engine})
	case choice.Owner != "":
		r.askToken(c, choice, c.engine)
	default:
		r.replace(c, pool, choice)
	}
}

// chooseReplacement returns an engine with a free slot that has no attempt of a request.
func (r *Router) chooseReplacement(c *call, pool *servicePool) (placement.Choice, bool) {
	if !pool.engines.HasOther(r.now, r.placementRequest(c), c.engine) {
		return placement.Choice{}, false
	}
	request := r.placementRequest(c)
	request.Exclude = append(request.Exclude, c.engine)
	if c.beside != nil {
		request.Exclude = append(request.Exclude, c.beside.engine)
	}
	if r.loads.poolsStale {
		r.updatePoolLoads()
	}
	choice, ok := pool.engines.Choose(r.now, request)
	return choice, ok && choice.HasFreeSlot()
}

// mayReplace reports whether a silent attempt of a request may be replaced by another one.
func (r *Router) mayReplace(c *call) bool {
	if c.released || r.tokens.awaits(c) || !r.mayRetry(c) || !r.endsInTime(c) {
		return false
	}
	_, refused := r.poison.detector.Check(r.now, c.traits())
	return !refused
}

// awaits reports whether a request waits for the owner of an engine's rate limit.
func (s *tokenState) awaits(c *call) bool {
	for _, p := range s.pending {
		if p.call == c {
			return true
		}
	}
	return false
}

// replace sends a request, whose engine is silent, to another engine if the retry budget allows it.
func (r *Router) replace(c *call, pool *servicePool, choice placement.Choice) {
	if c.fits(choice.Engine.Version) && r.takeRetry(c, pool) {
		r.sendBeside(c, pool, choice)
	}
}

// stalledTokenDecided replaces the running attempt of a request if the owner has admitted it elsewhere.
func (r *Router) stalledTokenDecided(p pendingToken, pool *servicePool, admitted bool) {
	c := p.call
	switch {
	case !admitted:
		c.deniedEngines = append(c.deniedEngines, p.choice.Engine.ID)
	case p.runs() && c.beside == nil && pool != nil && pool.engines.Accepts(r.now, p.choice.Engine.ID) && r.mayReplace(c):
		r.replace(c, pool, p.choice)
	}
}

// runs reports whether the attempt at stalledAt still runs.
func (p *pendingToken) runs() bool {
	return p.call.engine == p.stalledAt && !slices.Contains(p.call.triedEngines, p.stalledAt)
}
