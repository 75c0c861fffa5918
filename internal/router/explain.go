package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/routing"
	"github.com/bilberrywell/bilberrywell/waitqueue"
)

// Results of an Explanation.
const (
	// WouldSend requests go to an engine at once.
	WouldSend = "send"
	// WouldAsk requests wait until the owner of the engine's rate limit has admitted them.
	WouldAsk = "ask"
	// WouldWait requests wait at this instance for room at the engines.
	WouldWait = "wait"
	// WouldAwaitConfig requests wait until the instance has a configuration.
	WouldAwaitConfig = "await_configuration"
	// WouldRefuse requests get a refusal.
	WouldRefuse = "refuse"
)

// Explanation says what would become of a request that arrives now, and why.
type Explanation struct {
	// ConfigVersion is the version of the configuration in force, 0 without one.
	ConfigVersion uint64
	// Route is nil if none matches. Service is empty, and TimeLimit 0, unless the request was routed.
	Route    *routing.Route
	Service  fleet.ServiceID
	Customer fleet.CustomerID
	Urgency  int
	// TimeLimit is the time that the request may take.
	TimeLimit time.Duration

	// Result is one of the words above.
	Result string
	// Engine is the chosen one of WouldSend and WouldAsk, and Reason why it was chosen. FetchFrom is the engine that is
	// asked for the prompt's cache, and Owner the instance that admits the request, or empty. Reading is what is expected
	// of the reading of the prompt, if the request names its tokens.
	Engine    fleet.EngineID
	Reason    placement.Reason
	FetchFrom string
	Owner     fleet.InstanceID
	Reading   placement.Reading
	// Wait is the expectation of WouldWait, and of refusals because the request can't be served in time. WaitLimit is the
	// longest wait of WouldAwaitConfig.
	Wait      waitqueue.Expectation
	WaitLimit time.Duration
	// Refusal is set for WouldRefuse. RetryFrom and RetryTo bound its RetryAfter, which is drawn at random unless they are
	// equal.
	Refusal            *Refuse
	RetryFrom, RetryTo time.Duration

	// Mean is the mean load of the engines in service. Candidates are the engines of the service, in the order of the
	// prompt if there is one.
	Mean       float64
	Candidates []EngineCandidate
}

// EngineCandidate is an engine with the states that apply to it.
type EngineCandidate struct {
	placement.Candidate
	States []EngineReason
}

// Explain returns what would become of a request that arrives now. It runs the decision itself on a copy of the state, so
// that the router, its counters and its random numbers stay as they are. The request's id must not be in use.
func (r *Router) Explain(now time.Duration, arriving Call) Explanation {
	s := r.scratch(now)
	c := s.callArrived(CallArrived{Call: arriving})
	e := Explanation{ConfigVersion: s.configVersion(), Route: c.route, Service: c.service, Customer: c.customer, Urgency: c.urgency, Wait: c.wait.expected}
	if c.deadline > 0 {
		e.TimeLimit = c.deadline - c.Arrived
	}
	s.explainResult(c, &e)
	if s.pools[c.service] != nil && c.service != "" {
		e.Mean, e.Candidates = r.candidates(now, c)
	}
	return e
}

// explainResult reads the result of a request from the effects and the state after its arrival.
func (r *Router) explainResult(c *call, e *Explanation) {
	e.Result = WouldAwaitConfig
	for _, effect := range r.effects {
		switch effect := effect.(type) {
		case Send:
			if effect.Call == c.ID {
				e.Result, e.Engine, e.Reason, e.FetchFrom, e.Reading = WouldSend, c.engine, c.choiceReason, effect.FetchFrom, c.reading.Reading
			}
		case Refuse:
			if effect.Call == c.ID {
				e.Result, e.Refusal = WouldRefuse, &effect
				e.RetryFrom, e.RetryTo = effect.RetryAfter, effect.RetryAfter
				if r.spread.drawn == effect.RetryAfter && effect.RetryAfter > 0 {
					e.RetryFrom, e.RetryTo = r.spread.from, r.spread.to
				}
			}
		}
	}
	if c.wait.queued {
		e.Result = WouldWait
	}
	for _, p := range r.tokens.pending {
		if p.call == c {
			e.Result, e.Engine, e.Reason, e.FetchFrom, e.Owner, e.Reading = WouldAsk, p.choice.Engine.ID, p.choice.Reason, p.choice.FetchFrom, p.choice.Owner, p.choice.Reading
		}
	}
	if e.Result == WouldAwaitConfig {
		e.WaitLimit = r.configWait(c)
	}
}

// candidates returns the mean load and the engines of a request's service as its first choice sees them.
func (r *Router) candidates(now time.Duration, c *call) (float64, []EngineCandidate) {
	s := r.scratch(now)
	if s.loads.poolsStale {
		s.updatePoolLoads()
	}
	engines, mean := s.pools[c.service].engines.Candidates(now, s.placementRequest(&call{Call: c.Call, route: c.route}))
	list := make([]EngineCandidate, len(engines))
	for i, e := range engines {
		registered, _ := r.registry.Get(e.Engine.ID)
		list[i] = EngineCandidate{e, s.engineStatus(now, registered).Reasons}
	}
	return mean, list
}
