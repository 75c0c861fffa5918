package bench

import (
	"strings"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// maxParallel is the number of sessions that run at the same time.
const maxParallel = 6

var (
	kitaminato = deployment{name: "Kitaminato", instances: 7, engines: 10, customers: 10, dataCentres: 4}
	fes        = deployment{name: "Fès", instances: 7, engines: 20, customers: 10, dataCentres: 3}
)

// scenario is a plan that runs once with each policy.
type scenario struct {
	name string
	plan plan
}

func scenarios(seed uint64) []scenario {
	mixed := fes
	mixed.name, mixed.mixedCapacity = "Fès, half of the engines at double capacity", true
	base := plan{seed: seed, load: 0.7, warmUp: 2 * time.Minute, measureTime: 4 * time.Minute, churn: true}
	list := []scenario{
		{"", withDeployment(base, kitaminato)},
		{"", withDeployment(base, fes)},
		{"", withDeployment(base, mixed)},
		{"", withDeployment(base, deployment{"14 instances, 46 engines", 14, 46, 20, 4, false})},
		{"", withDeployment(base, deployment{"28 instances, 92 engines", 28, 92, 40, 4, false})},
	}
	busy := withDeployment(base, fes)
	busy.load = 0.85
	list = append(list, scenario{"Fès at 85% load", busy})
	large := withDeployment(base, deployment{"56 instances, 184 engines", 56, 184, 80, 4, false})
	large.warmUp, large.measureTime = 45*time.Second, 45*time.Second
	list = append(list, scenario{"", large})
	for i := range list {
		if list[i].name == "" {
			list[i].name = list[i].plan.deployment.name
		}
	}
	return list
}

func withDeployment(p plan, d deployment) plan {
	p.deployment = d
	return p
}

// runAll runs plans in parallel and returns their results in the order of the plans. Sessions
// share no state.
func runAll(plans []plan) []result {
	results := make([]result, len(plans))
	p := pool.New().WithMaxGoroutines(maxParallel)
	for i := range plans {
		p.Go(func() { results[i] = runSession(plans[i]) })
	}
	p.Wait()
	return results
}

// Run runs the parts of the benchmark that only names (scenarios, small, surge, faults), or all
// if it is empty, and returns the text of the report. The part small, the first three scenarios,
// cannot be combined with others.
func Run(seed uint64, only string) string {
	var r report
	wants := func(part string) bool { return only == "" || strings.Contains(only, part) }
	if wants("scenarios") {
		r.scenarios(scenarios(seed))
	}
	if only == "small" {
		r.scenarios(scenarios(seed)[:3])
	}
	if wants("surge") {
		r.surge(seed)
	}
	if wants("faults") {
		r.faults(seed)
	}
	return r.text(seed)
}

// withEveryPolicy returns a copy of a plan for each policy.
func withEveryPolicy(p plan) []plan {
	plans := make([]plan, len(policies))
	for i, policy := range policies {
		plans[i] = p
		plans[i].policy = policy
	}
	return plans
}

// surgePlans returns plans for each policy without a surge, followed by plans for each policy
// with a surge of one customer to ten times its rate.
func surgePlans(seed uint64, d deployment, load float64) []plan {
	p := plan{deployment: d, seed: seed, load: load, warmUp: 2 * time.Minute, measureTime: 90 * time.Second}
	p.surge = &surge{customer: 2, from: p.warmUp + 10*time.Second, to: p.warmUp + 70*time.Second, factor: 1}
	plans := withEveryPolicy(p)
	for _, plain := range plans {
		surging := *plain.surge
		surging.factor = 10
		plain.surge = &surging
		plans = append(plans, plain)
	}
	return plans
}
