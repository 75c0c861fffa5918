package orders

import (
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// capacityEpsilon keeps floating-point error from blocking a change that fits exactly.
const capacityEpsilon = 1e-9

// step is one run of Plan.
type step struct {
	p       *Planner
	now     time.Duration
	duty    Duty
	reports map[fleet.EngineID]Report
	pools   map[fleet.ServiceID]*pool
	plan    Plan
	// short reports that a load found too little budget. Later loads then wait as well, so that
	// small ones cannot keep a large one waiting forever.
	short bool
}

// consider emits an order for an engine if one is due and allowed.
func (s *step) consider(d Desired) {
	o := s.p.outstanding[d.Engine]
	if !s.due(d, o) {
		return
	}
	if reason := s.blocked(d); reason != 0 {
		s.plan.Blocked = append(s.plan.Blocked, Blocked{Engine: d.Engine, Reason: reason})
		return
	}
	s.emit(d, o)
}

// due reports whether the engine needs an order now. While an order is outstanding the report
// may be old, so that only a changed wish or the repeat time counts.
func (s *step) due(d Desired, o *outstanding) bool {
	if o != nil {
		return !o.state.Equal(d.State) || s.now >= o.repeatAt
	}
	r, reported := s.reports[d.Engine]
	return !reported || !r.State.Equal(d.State)
}

func (s *step) blocked(d Desired) Reason {
	_, reported := s.reports[d.Engine]
	switch {
	case !reported:
		return Unreported
	case s.now < s.p.since+s.p.cfg.ReportLag:
		return Settling
	case !d.ChecksFence && s.now < s.duty.ActAfter:
		return Fencing
	case !s.fits(d):
		return Capacity
	case !s.affordable(d):
		return Budget
	}
	return 0
}

// fits reports whether the pool may lose the engine. An engine that is out costs nothing more.
func (s *step) fits(d Desired) bool {
	if s.p.isOut(d, s.reports) {
		return true
	}
	pool := s.pools[d.Pool]
	return pool.out+d.Capacity <= s.p.cfg.MaxChanging*pool.total+capacityEpsilon
}

// affordable spends the cost of the change. A repeated order is charged again, because an
// engine that failed to load starts over.
func (s *step) affordable(d Desired) bool {
	outstanding := s.p.outstanding[d.Engine] != nil
	if !outstanding && s.reports[d.Engine].State.sameWeights(d.State) {
		return true
	}
	if s.short || !s.p.spend(d.LoadCost) {
		s.short = true
		return false
	}
	return true
}

func (s *step) emit(d Desired, o *outstanding) {
	p := s.p
	if !p.isOut(d, s.reports) {
		s.pools[d.Pool].out += d.Capacity
	}
	next := &outstanding{state: copyState(d.State), sentAt: s.now, attempt: 1}
	if o != nil && o.state.Equal(d.State) {
		// The first order's time stays, since the report may already show its effect.
		next.sentAt, next.attempt = o.sentAt, o.attempt+1
	}
	next.repeatAt = s.now + min(p.cfg.RetryMin<<min(next.attempt-1, 16), p.cfg.RetryMax)
	p.outstanding[d.Engine] = next
	p.serial++
	s.plan.Orders = append(s.plan.Orders, Order{
		Engine: d.Engine, Fence: s.duty.Fence, Serial: p.serial, State: copyState(d.State), Attempt: next.attempt,
	})
}

func copyState(s State) State {
	s.Adapters = slices.Clone(s.Adapters)
	return s
}
