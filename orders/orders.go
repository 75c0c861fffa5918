// Package orders plans which engines are told to change their state.
//
// A Planner compares the desired state of engines with their reported state, which lags, and
// returns orders. An order declares a whole state, so that repeating it is harmless, and carries
// the fencing number of the lease under which it was planned. Only the lease holder plans: the
// weight store's budget and the limit on concurrent changes are therefore fleet-wide.
//
// An engine counts as changing from its first order until a report taken at least ReportLag
// after that order shows the declared state. Earlier reports may describe the time before the
// order.
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
	return s.Model == o.Model && s.Version == o.Version && slices.Equal(sorted(s.Adapters), sorted(o.Adapters))
}

func sorted(list []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(list)))
}

// Desired is an engine with the state that it should have.
type Desired struct {
	Engine fleet.EngineID
	// Pool groups the engines that serve the same requests.
	Pool     fleet.ServiceID
	Capacity float64
	State    State
	// LoadCost is what one load costs of the weight store's budget, in the budget's unit.
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

// Duty is the state of the lease at the time of planning.
type Duty struct {
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
	// Serial rises with every order under one fencing number.
	Serial uint64
	State  State
	// Attempt counts the orders for this state, from 1.
	Attempt int
}

// Reason tells why a wanted change has no order yet.
type Reason uint8

const (
	// Budget reports that the weight store's budget is used up.
	Budget Reason = iota + 1
	// Capacity reports that the pool would lose more capacity than allowed.
	Capacity
	// Fencing reports that an engine that ignores fencing numbers has to wait.
	Fencing
	// Settling reports that reports may not yet show the orders of the previous lease holder.
	Settling
	// Unreported reports that the engine sends no reports. Orders to it could not be confirmed and
	// would use up the budget.
	Unreported
)

// Blocked is an engine that waits.
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
	// BudgetRate and BudgetBurst bound loads from the weight store, in units of LoadCost per
	// second and units. A cost above the burst is spent from a full budget and repaid over time.
	BudgetRate, BudgetBurst float64
	// MaxChanging is the share of a pool's capacity, in [0,1], that may be out at once by orders.
	// An engine larger than this share never changes and is reported as Blocked.
	MaxChanging float64
	// ReportLag is the longest time until a report shows the effect of an order.
	ReportLag time.Duration
	// RetryMin and RetryMax bound the doubling wait before an order is repeated.
	RetryMin, RetryMax time.Duration
}

// Planner holds the outstanding orders of one lease holder. It is not safe for concurrent use.
type Planner struct {
	cfg         Config
	fence       uint64
	since       time.Duration
	serial      uint64
	tokens      float64
	filledAt    time.Duration
	outstanding map[fleet.EngineID]*outstanding
}

// outstanding is an order that no report has confirmed.
type outstanding struct {
	state    State
	sentAt   time.Duration
	repeatAt time.Duration
	attempt  int
}

// New returns a planner without outstanding orders.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg, outstanding: map[fleet.EngineID]*outstanding{}}
}

// Plan returns the orders that are due. Engines that desired does not list are left alone.
func (p *Planner) Plan(now time.Duration, duty Duty, desired []Desired, reports map[fleet.EngineID]Report) Plan {
	if !duty.Valid {
		return Plan{}
	}
	p.adopt(now, duty.Fence)
	p.fill(now)
	p.confirm(desired, reports)
	step := &step{p: p, now: now, duty: duty, reports: reports, pools: p.pools(desired, reports)}
	for _, d := range p.queue(desired) {
		step.consider(d)
	}
	return step.plan
}

// adopt starts over under a new fencing number. The budget starts empty, since the previous
// holder may just have spent it.
func (p *Planner) adopt(now time.Duration, fence uint64) {
	if p.fence == fence {
		return
	}
	p.fence, p.since, p.serial = fence, now, 0
	p.tokens, p.filledAt = 0, now
	clear(p.outstanding)
}

func (p *Planner) fill(now time.Duration) {
	p.tokens = min(p.cfg.BudgetBurst, p.tokens+p.cfg.BudgetRate*(now-p.filledAt).Seconds())
	p.filledAt = now
}

// spend takes cost from the budget. A cost above the burst needs a full budget.
func (p *Planner) spend(cost float64) bool {
	if p.tokens < min(cost, p.cfg.BudgetBurst) {
		return false
	}
	p.tokens -= cost
	return true
}

// confirm drops the orders that reports confirm, and those for engines that are not desired.
func (p *Planner) confirm(desired []Desired, reports map[fleet.EngineID]Report) {
	wanted := make(map[fleet.EngineID]bool, len(desired))
	for _, d := range desired {
		wanted[d.Engine] = true
	}
	for id, o := range p.outstanding {
		r, ok := reports[id]
		shown := ok && r.Ready && r.State.Equal(o.state) && r.At >= o.sentAt+p.cfg.ReportLag
		if shown || !wanted[id] {
			delete(p.outstanding, id)
		}
	}
}

// pool is the capacity of a pool and the part of it that is out.
type pool struct{ total, out float64 }

func (p *Planner) pools(desired []Desired, reports map[fleet.EngineID]Report) map[fleet.ServiceID]*pool {
	pools := map[fleet.ServiceID]*pool{}
	for _, d := range desired {
		if pools[d.Pool] == nil {
			pools[d.Pool] = &pool{}
		}
		pools[d.Pool].total += d.Capacity
		if p.isOut(d, reports) {
			pools[d.Pool].out += d.Capacity
		}
	}
	return pools
}

// isOut reports whether an engine may be without service: by an order, or by its report.
func (p *Planner) isOut(d Desired, reports map[fleet.EngineID]Report) bool {
	return p.outstanding[d.Engine] != nil || !reports[d.Engine].Ready
}

// queue returns the engines with those first that are out already, then by identifier.
func (p *Planner) queue(desired []Desired) []Desired {
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
