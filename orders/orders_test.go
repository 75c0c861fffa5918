package orders_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/orders"
)

// init fixes the seed of property tests, so that every run gives the same result. Flags override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var config = orders.Config{
	BudgetRate: 0.5, BudgetBurst: 2, MaxChangingShare: 0.25,
	ReportLag: 5 * time.Second, RetryMin: 2 * time.Second, RetryMax: 16 * time.Second,
}

func state(version int) orders.State {
	return orders.State{Model: "m", Version: fmt.Sprint(version), Role: "chat"}
}

func desiredEngines(n, version int) []orders.Desired {
	list := make([]orders.Desired, n)
	for i := range list {
		list[i] = orders.Desired{Engine: fleet.EngineID(fmt.Sprintf("e%d", i)), Pool: "p", Capacity: 10,
			State: state(version), LoadCost: 1, ChecksFence: i%2 == 0}
	}
	return list
}

func reports(n, version int, at time.Duration) map[fleet.EngineID]orders.Report {
	all := map[fleet.EngineID]orders.Report{}
	for i := range n {
		all[fleet.EngineID(fmt.Sprintf("e%d", i))] = orders.Report{State: state(version), Ready: true, At: at}
	}
	return all
}

func ExamplePlanner() {
	p := orders.New(config)
	lease := orders.LeaseState{Valid: true, Fence: 7, ActAfter: 9 * time.Second}
	for _, now := range []time.Duration{0, 6 * time.Second, 8 * time.Second} {
		plan := p.Plan(now, lease, desiredEngines(4, 2), reports(4, 1, now))
		for _, o := range plan.Orders {
			fmt.Println(now, "order", o.Engine, o.State.Version, "fence", o.Fence, "attempt", o.Attempt)
		}
		fmt.Println(now, "blocked", plan.Blocked)
	}
	// Output:
	// 0s blocked [{e0 4} {e1 4} {e2 4} {e3 4}]
	// 6s order e0 2 fence 7 attempt 1
	// 6s blocked [{e1 3} {e2 2} {e3 3}]
	// 8s order e0 2 fence 7 attempt 2
	// 8s blocked [{e1 3} {e2 2} {e3 3}]
}

// engine is a simulated engine. It applies an order after a loading time, during which it is not
// ready. Its history holds a report for each second.
type engine struct {
	state          orders.State
	next           orders.State
	loadingSeconds int
	history        []orders.Report
}

// tick advances the engine by one second.
func (e *engine) tick(now time.Duration) {
	if e.loadingSeconds > 0 {
		e.loadingSeconds--
		if e.loadingSeconds == 0 {
			e.state = e.next
		}
	}
	e.history = append(e.history, orders.Report{State: e.state, Ready: e.loadingSeconds == 0, At: now})
}

func (e *engine) applyOrder(o orders.Order, seconds int) {
	target := e.state
	if e.loadingSeconds > 0 {
		target = e.next
	}
	if !target.Equal(o.State) {
		e.next, e.loadingSeconds = o.State, seconds
	}
}

const poolSize = 8

// pool simulates a pool of engines that is planned by a sequence of lease holders.
type pool struct {
	*rapid.T
	cfg         orders.Config
	engines     map[fleet.EngineID]*engine
	desired     []orders.Desired
	planner     *orders.Planner
	lease       orders.LeaseState
	holderSince time.Duration
	// sentByHolder counts the orders of the current holder, each of which costs 1.
	sentByHolder int
	total        int
}

func newPool(t *rapid.T) *pool {
	p := &pool{T: t, cfg: config, engines: map[fleet.EngineID]*engine{}, desired: desiredEngines(poolSize, 1)}
	// With the low rate the budget limits the orders, with the high one the pool's capacity.
	p.cfg.BudgetRate = rapid.SampledFrom([]float64{0.5, 5}).Draw(t, "rate")
	for _, d := range p.desired {
		p.engines[d.Engine] = &engine{state: state(0)}
	}
	p.startHolder(0, 0)
	return p
}

// startHolder replaces the planner by that of a new lease holder.
func (p *pool) startHolder(now, wait time.Duration) {
	p.planner = orders.New(p.cfg)
	p.lease = orders.LeaseState{Valid: true, Fence: p.lease.Fence + 1, ActAfter: now + wait}
	p.holderSince, p.sentByHolder = now, 0
}

func (p *pool) changeRandomly(now time.Duration) {
	if rapid.IntRange(0, 29).Draw(p.T, "wish") == 17 {
		p.desired = desiredEngines(poolSize, rapid.IntRange(0, 2).Draw(p.T, "version"))
	}
	if rapid.IntRange(0, 39).Draw(p.T, "holder") == 23 {
		p.startHolder(now, 7*time.Second)
	}
}

// observe advances the engines and returns lagging reports.
func (p *pool) observe(now time.Duration) map[fleet.EngineID]orders.Report {
	seen := map[fleet.EngineID]orders.Report{}
	loading := 0
	for _, d := range p.desired {
		e := p.engines[d.Engine]
		e.tick(now)
		lag := rapid.IntRange(0, 4).Draw(p.T, "lag")
		seen[d.Engine] = e.history[max(0, len(e.history)-1-lag)]
		if e.loadingSeconds > 0 {
			loading++
		}
	}
	require.LessOrEqual(p, loading, poolSize/4, "engines out at %s", now)
	return seen
}

func (p *pool) deliverOrder(now time.Duration, o orders.Order, faults bool) {
	p.sentByHolder++
	p.total++
	require.Equal(p, p.lease.Fence, o.Fence)
	var number int
	_, _ = fmt.Sscanf(string(o.Engine), "e%d", &number)
	require.True(p, number%2 == 0 || now >= p.lease.ActAfter, "order before ActAfter")
	if !faults || rapid.IntRange(0, 3).Draw(p.T, "lost") > 0 {
		p.engines[o.Engine].applyOrder(o, rapid.IntRange(1, 6).Draw(p.T, "seconds"))
	}
}

// Guards against a pool that loses more capacity than allowed, loads above the budget, orders
// before ActAfter, and desired states that are never reached, with lagging reports, lost orders,
// changed desired states and new lease holders.
func TestPlannerKeepsLimits(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(t)
		for second := range 300 {
			now := time.Duration(second) * time.Second
			faults := second < 120
			if faults {
				p.changeRandomly(now)
			}
			for _, o := range p.planner.Plan(now, p.lease, p.desired, p.observe(now)).Orders {
				p.deliverOrder(now, o, faults)
			}
			require.LessOrEqual(t, float64(p.sentByHolder), p.cfg.BudgetRate*(now-p.holderSince).Seconds(), "loads of one holder")
		}
		for _, d := range p.desired {
			require.True(t, p.engines[d.Engine].state.Equal(d.State), "%s never got its state", d.Engine)
		}
		total += p.total
	})
	t.Logf("%d orders", total)
	require.NotZero(t, total)
}

// Guards against planning without a valid lease, charges for changes that load no weights, orders to
// engines without a report, and a missing order when the desired state returns to the old one that
// a lagging report still shows.
func TestPlannerDecisions(t *testing.T) {
	second := time.Second
	p := orders.New(config)
	lease := orders.LeaseState{Valid: true, Fence: 1}
	require.Empty(t, p.Plan(0, orders.LeaseState{Fence: 1}, desiredEngines(4, 2), reports(4, 1, 0)))
	p.Plan(0, lease, desiredEngines(4, 1), reports(4, 1, 0))
	first := p.Plan(5*second, lease, desiredEngines(4, 2), reports(4, 1, 5*second)).Orders
	require.Len(t, first, 1)
	revertPlan := p.Plan(6*second, lease, desiredEngines(4, 1), reports(4, 1, 6*second))
	require.Len(t, revertPlan.Orders, 1, "the engine may be on its way to the other state")
	require.Equal(t, first[0].Serial+1, revertPlan.Orders[0].Serial)
	costly := desiredEngines(4, 0)[:1]
	costly[0].LoadCost = 2
	costlyPlan := p.Plan(7*second, lease, costly, reports(4, 1, 7*second))
	require.Equal(t, []orders.Blocked{{Engine: "e0", Reason: orders.Budget}}, costlyPlan.Blocked)
	require.Empty(t, p.Plan(13*second, lease, desiredEngines(4, 1), reports(4, 1, 13*second)))

	roles := desiredEngines(4, 1)
	roles[3].State.Role = "batch"
	withoutBudget := orders.New(orders.Config{MaxChangingShare: 0.25})
	require.Len(t, withoutBudget.Plan(0, lease, roles, reports(4, 1, 0)).Orders, 1, "a role change loads nothing")

	missing := reports(4, 1, 30*second)
	delete(missing, "e2")
	plan := p.Plan(30*second, lease, desiredEngines(4, 2), missing)
	require.Contains(t, plan.Blocked, orders.Blocked{Engine: "e2", Reason: orders.Unreported})
	require.Empty(t, plan.Orders, "the pool has lost its share already")
}
