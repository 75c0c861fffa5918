// Package orders plans the orders that change the state of engines, such as their model and role.
//
// A Planner compares the desired state of engines with their reported state, which lags, and
// returns orders. An order declares a complete state, so repeating it is harmless, and
// carries the fencing number of the lease under which it was planned. Only the lease holder
// plans. The budget of loads from the weight store, from which engines read model weights, and the
// limit on concurrent changes therefore apply to all engines under the lease.
//
// An engine counts as changing from its first order until a report taken at least ReportLag
// after that order shows the declared state. An earlier report may describe the state before
// the order.
package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// State is what an engine runs. Adapters are compared as a set.
type State struct {
	Model, Version string
	Adapters       []string
	Role           string
}

// Equal reports whether two states are the same.
func (s State) Equal(o State) bool {
	return s.Role == o.Role && s.sameWeights(o)
}

// sameWeights reports whether a change between the states reads nothing from the weight store.
func (s State) sameWeights(o State) bool {
	return s.Model == o.Model && s.Version == o.Version && slices.Equal(sortedUnique(s.Adapters), sortedUnique(o.Adapters))
}

func sortedUnique(list []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(list)))
}

// Desired is an engine with the state that it should have.
type Desired struct {
	Engine fleet.EngineID
	// Pool groups the engines that serve the same requests.
	Pool     fleet.ServiceID
	Capacity float64
	State    State
	// LoadCost is the part of the weight store's budget that one load uses, in the budget's unit.
	LoadCost float64
	// ChecksFence reports whether the engine refuses orders with an old fencing number.
	ChecksFence bool
}

// Report is the newest report of an engine.
type Report struct {
	State State
	// Ready reports whether the engine takes requests.
	Ready bool
	// At is the earliest time at which the report may have been taken.
	At time.Duration
}

// LeaseState is the state of the lease that allows planning, at the time of planning.
type LeaseState struct {
	// Valid reports whether the lease is held. Without it nothing is planned.
	Valid bool
	Fence uint64
	// ActAfter is the time from which engines that ignore fencing numbers may get orders.
	ActAfter time.Duration
}

// Order declares the state that an engine has to take on.
type Order struct {
	Engine fleet.EngineID
	Fence  uint64
	// Serial is higher in every later order under the same fencing number.
	Serial uint64
	State  State
	// Attempt counts the orders for this state to the engine, from 1.
	Attempt int
}

// Reason is why an engine that needs an order got none.
type Reason uint8

const (
	// Budget reports that the weight store's budget does not cover the load or an earlier one of
	// the same plan.
	Budget Reason = iota + 1
	// Capacity reports that the pool would lose more capacity than allowed.
	Capacity
	// Fencing reports that the engine ignores fencing numbers and LeaseState.ActAfter has not
	// passed.
	Fencing
	// AwaitingReports reports that the lease is so new that the engines' reports may not show the
	// orders of its previous holder.
	AwaitingReports
	// Unreported reports that there is no report of the engine. Orders to it could not be confirmed
	// and repeated orders would use up the budget.
	Unreported
)

// Blocked is an engine that needs an order but got none.
type Blocked struct {
	Engine fleet.EngineID
	Reason Reason
}

// Plan is the result of one planning step. Orders and Blocked are in a fixed order.
type Plan struct {
	Orders  []Order
	Blocked []Blocked
}

// Config holds the settings of a Planner.
type Config struct {
	// BudgetRate and BudgetBurst bound loads from the weight store. BudgetRate is in units of
	// LoadCost per second, BudgetBurst in units of LoadCost. A load that costs more than the
	// burst needs a full budget, which it makes negative until the rate has refilled it.
	BudgetRate, BudgetBurst float64
	// MaxChangingShare is the share of a pool's capacity, in [0,1], up to which orders may make
	// engines unavailable at once. An engine larger than this share gets no orders and is reported
	// as Blocked.
	MaxChangingShare float64
	// ReportLag is the longest time after an order until reports show its effect.
	ReportLag time.Duration
	// RetryMin and RetryMax bound the doubling wait before an order is repeated.
	RetryMin, RetryMax time.Duration
}

// Planner holds the outstanding orders of one lease holder. It is not safe for concurrent use.
type Planner struct {
	cfg         Config
	fence       uint64
	fenceSince  time.Duration
	lastSerial  uint64
	budget      float64
	filledAt    time.Duration
	outstanding map[fleet.EngineID]*outstandingOrder
}

// outstandingOrder is an order that no report has confirmed.
type outstandingOrder struct {
	state    State
	sentAt   time.Duration
	repeatAt time.Duration
	attempt  int
}

// New returns a planner without outstanding orders.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg, outstanding: map[fleet.EngineID]*outstandingOrder{}}
}

// Plan returns the orders that are due. Engines that desired does not list get none.
func (p *Planner) Plan(now time.Duration, lease LeaseState, desired []Desired, reports map[fleet.EngineID]Report) Plan {
	if !lease.Valid {
		return Plan{}
	}
	p.resetForFence(now, lease.Fence)
	p.refillBudget(now)
	p.dropConfirmed(desired, reports)
	step := &planStep{planner: p, now: now, lease: lease, reports: reports, pools: p.pools(desired, reports)}
	for _, d := range p.outstandingFirst(desired) {
		step.planEngine(d)
	}
	return step.plan
}

// resetForFence clears the planner's state if the fencing number is new. The budget starts empty,
// since the previous holder may just have spent it.
func (p *Planner) resetForFence(now time.Duration, fence uint64) {
	if p.fence == fence {
		return
	}
	p.fence, p.fenceSince, p.lastSerial = fence, now, 0
	p.budget, p.filledAt = 0, now
	clear(p.outstanding)
}

func (p *Planner) refillBudget(now time.Duration) {
	p.budget = min(p.cfg.BudgetBurst, p.budget+p.cfg.BudgetRate*(now-p.filledAt).Seconds())
	p.filledAt = now
}

// spendBudget subtracts cost from the budget and reports whether the budget allowed it. A cost
// above the burst needs a full budget and makes it negative.
func (p *Planner) spendBudget(cost float64) bool {
	if p.budget < min(cost, p.cfg.BudgetBurst) {
		return false
	}
	p.budget -= cost
	return true
}

// dropConfirmed deletes the outstanding orders that reports confirm, and those for engines that
// desired does not list.
func (p *Planner) dropConfirmed(desired []Desired, reports map[fleet.EngineID]Report) {
	wanted := make(map[fleet.EngineID]bool, len(desired))
	for _, d := range desired {
		wanted[d.Engine] = true
	}
	for id, o := range p.outstanding {
		r, ok := reports[id]
		confirmed := ok && r.Ready && r.State.Equal(o.state) && r.At >= o.sentAt+p.cfg.ReportLag
		if confirmed || !wanted[id] {
			delete(p.outstanding, id)
		}
	}
}

// pool is the total capacity of a pool and the capacity of its unavailable engines.
type pool struct{ total, unavailable float64 }

func (p *Planner) pools(desired []Desired, reports map[fleet.EngineID]Report) map[fleet.ServiceID]*pool {
	pools := map[fleet.ServiceID]*pool{}
	for _, d := range desired {
		if pools[d.Pool] == nil {
			pools[d.Pool] = &pool{}
		}
		pools[d.Pool].total += d.Capacity
		if p.isUnavailable(d, reports) {
			pools[d.Pool].unavailable += d.Capacity
		}
	}
	return pools
}

// isUnavailable reports whether an engine may not serve requests: it has an outstanding order, or
// its report does not say that it is ready.
func (p *Planner) isUnavailable(d Desired, reports map[fleet.EngineID]Report) bool {
	return p.outstanding[d.Engine] != nil || !reports[d.Engine].Ready
}

// outstandingFirst returns the engines in the order of planning: those with an outstanding order
// first, then by identifier.
func (p *Planner) outstandingFirst(desired []Desired) []Desired {
	list := slices.Clone(desired)
	slices.SortFunc(list, func(a, b Desired) int {
		outA, outB := p.outstanding[a.Engine] != nil, p.outstanding[b.Engine] != nil
		if outA != outB {
			if outA {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Engine, b.Engine)
	})
	return list
}
