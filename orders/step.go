package orders

import (
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// capacityEpsilon keeps floating-point error from blocking a change that fits exactly.
const capacityEpsilon = 1e-9

// planStep is one run of Plan.
type planStep struct {
	planner *Planner
	now     time.Duration
	lease   LeaseState
	reports map[fleet.EngineID]Report
	pools   map[fleet.ServiceID]*pool
	plan    Plan
	// budgetExhausted reports that the budget did not cover a load. All later loads of the run then
	// wait as well, so that small ones cannot delay a large one forever.
	budgetExhausted bool
}

// planEngine adds an order for an engine if one is due and allowed, or adds the engine to the
// blocked ones.
func (s *planStep) planEngine(d Desired) {
	outstanding := s.planner.outstanding[d.Engine]
	if !s.due(d, outstanding) {
		return
	}
	if reason := s.chargeOrBlock(d); reason != 0 {
		s.plan.Blocked = append(s.plan.Blocked, Blocked{Engine: d.Engine, Reason: reason})
		return
	}
	s.emitOrder(d, outstanding)
}

// due reports whether the engine needs an order now. While an order is outstanding the report may
// be outdated, so only a changed desired state or the repeat time makes an order due.
func (s *planStep) due(d Desired, outstanding *outstandingOrder) bool {
	if outstanding != nil {
		return !outstanding.state.Equal(d.State) || s.now >= outstanding.repeatAt
	}
	r, reported := s.reports[d.Engine]
	return !reported || !r.State.Equal(d.State)
}

// chargeOrBlock charges the cost of an order and returns zero, or returns the reason why the engine
// may not get the order now.
func (s *planStep) chargeOrBlock(d Desired) Reason {
	_, reported := s.reports[d.Engine]
	switch {
	case !reported:
		return Unreported
	case s.now < s.planner.fenceSince+s.planner.cfg.ReportLag:
		return AwaitingReports
	case !d.ChecksFence && s.now < s.lease.ActAfter:
		return Fencing
	case !s.withinCapacityLimit(d):
		return Capacity
	case !s.chargeBudget(d):
		return Budget
	}
	return 0
}

// withinCapacityLimit reports whether the pool may lose the engine's capacity. An engine that is
// already unavailable takes no further capacity away.
func (s *planStep) withinCapacityLimit(d Desired) bool {
	if s.planner.isUnavailable(d, s.reports) {
		return true
	}
	pool := s.pools[d.Pool]
	return pool.unavailable+d.Capacity <= s.planner.cfg.MaxChangingShare*pool.total+capacityEpsilon
}

// chargeBudget charges the cost of the change and reports whether the budget allowed it. A first
// order for a change that loads no weights is free. A repeated order is charged again, because an
// engine that failed to load starts the load again.
func (s *planStep) chargeBudget(d Desired) bool {
	outstanding := s.planner.outstanding[d.Engine] != nil
	if !outstanding && s.reports[d.Engine].State.sameWeights(d.State) {
		return true
	}
	if s.budgetExhausted || !s.planner.spendBudget(d.LoadCost) {
		s.budgetExhausted = true
		return false
	}
	return true
}

// emitOrder adds an order for an engine to the plan and records it as outstanding.
func (s *planStep) emitOrder(d Desired, outstanding *outstandingOrder) {
	p := s.planner
	if !p.isUnavailable(d, s.reports) {
		s.pools[d.Pool].unavailable += d.Capacity
	}
	next := &outstandingOrder{state: copyState(d.State), sentAt: s.now, attempt: 1}
	if outstanding != nil && outstanding.state.Equal(d.State) {
		// A repeated order keeps the time of the first one, since reports may already show the
		// effect of the first.
		next.sentAt, next.attempt = outstanding.sentAt, outstanding.attempt+1
	}
	next.repeatAt = s.now + min(p.cfg.RetryMin<<min(next.attempt-1, 16), p.cfg.RetryMax)
	p.outstanding[d.Engine] = next
	p.lastSerial++
	s.plan.Orders = append(s.plan.Orders, Order{
		Engine: d.Engine, Fence: s.lease.Fence, Serial: p.lastSerial, State: copyState(d.State), Attempt: next.attempt,
	})
}

func copyState(s State) State {
	s.Adapters = slices.Clone(s.Adapters)
	return s
}
