package bench

import (
	"strings"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// maxParallel bounds the sessions that run at the same time.
const maxParallel = 6

var (
	kitaminato = size{name: "Kitaminato", instances: 7, engines: 10, customers: 10, dataCentre: 4}
	fes        = size{name: "Fès", instances: 7, engines: 20, customers: 10, dataCentre: 3}
)

// scenario is a set of sessions that differ in their policy only.
type scenario struct {
	name string
	plan plan
}

func scenarios(seed uint64) []scenario {
	mixed := fes
	mixed.name, mixed.mixed = "Fès, half of the engines at double capacity", true
	base := plan{seed: seed, load: 0.7, warm: 2 * time.Minute, measured: 4 * time.Minute, churn: true}
	list := []scenario{
		{"", with(base, kitaminato)},
		{"", with(base, fes)},
		{"", with(base, mixed)},
		{"", with(base, size{"14 instances, 46 engines", 14, 46, 20, 4, false})},
		{"", with(base, size{"28 instances, 92 engines", 28, 92, 40, 4, false})},
	}
	busy := with(base, fes)
	busy.load = 0.85
	list = append(list, scenario{"Fès at 85% load", busy})
	large := with(base, size{"56 instances, 184 engines", 56, 184, 80, 4, false})
	large.warm, large.measured = 45*time.Second, 45*time.Second
	list = append(list, scenario{"", large})
	for i := range list {
		if list[i].name == "" {
			list[i].name = list[i].plan.size.name
		}
	}
	return list
}

func with(p plan, z size) plan {
	p.size = z
	return p
}

// runAll runs plans in parallel and returns their results in order. Sessions share nothing.
func runAll(plans []plan) []result {
	results := make([]result, len(plans))
	p := pool.New().WithMaxGoroutines(maxParallel)
	for i := range plans {
		p.Go(func() { results[i] = run(plans[i]) })
	}
	p.Wait()
	return results
}

// Run runs the parts named in only, or all, and returns the page's text.
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

// byPolicy runs a plan with every policy.
func byPolicy(p plan) []plan {
	plans := make([]plan, len(policies))
	for i, policy := range policies {
		plans[i] = p
		plans[i].policy = policy
	}
	return plans
}

// surgePlans returns each policy without and with a surge of one customer to ten times its rate.
func surgePlans(seed uint64, z size, load float64) []plan {
	p := plan{size: z, seed: seed, load: load, warm: 2 * time.Minute, measured: 90 * time.Second}
	p.surge = &surge{customer: 2, from: p.warm + 10*time.Second, to: p.warm + 70*time.Second, factor: 1}
	plans := byPolicy(p)
	for _, plain := range plans {
		surging := *plain.surge
		surging.factor = 10
		plain.surge = &surging
		plans = append(plans, plain)
	}
	return plans
}
