package bench

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// The targets of docs/design.md.
const (
	reuseTarget = 0.02
	extraTarget = 0.10
	surgeTarget = 0.10
)

// report collects the text and the targets that were missed.
type report struct {
	body   strings.Builder
	misses []string
}

func (r *report) line(format string, args ...any) { fmt.Fprintf(&r.body, format+"\n", args...) }

func (r *report) miss(format string, args ...any) {
	r.misses = append(r.misses, fmt.Sprintf(format, args...))
}

// scenarios runs every scenario with every policy.
func (r *report) scenarios(list []scenario) {
	var plans []plan
	for _, s := range list {
		plans = append(plans, byPolicy(s.plan)...)
	}
	results := runAll(plans)
	var fleets []result
	for i, s := range list {
		group := results[i*len(policies) : (i+1)*len(policies)]
		r.policyTable(s, group)
		fleets = append(fleets, group[0])
	}
	r.traffic(list, fleets)
}

func (r *report) policyTable(s scenario, group []result) {
	r.line("### %s\n", s.name)
	r.line("%d instances, %d engines, %d requests, %.0f%% of the slots in use (fleet), one engine of ten replaced per minute.\n",
		s.plan.size.instances, s.plan.size.engines, group[0].requests, 100*group[0].utilisation)
	r.line("| policy | reuse %% | below oracle | max/mean avg | p99 | CV | starts above bound %% | worst/bound | queue p50 ms | p95 | p99 | first token p95 ms | p99 | extra %% | failed %% |")
	r.line("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	oracle := group[1]
	for _, x := range group {
		r.line("| %s | %.1f | %.1f | %.2f | %.2f | %.3f | %.2f | %.2f | %s | %s | %s | %s | %s | %.2f | %.2f |",
			x.plan.policy, 100*x.reuse, 100*(oracle.reuse-x.reuse), x.skewMean, x.skewP99, x.variation, 100*x.aboveBound, x.worst,
			ms(x.queue.p50), ms(x.queue.p95), ms(x.queue.p99), ms(x.first.p95), ms(x.first.p99), 100*x.extra, 100*x.failRate())
	}
	r.line("")
	r.line("Returning chats that ran cold, in %% of all returning ones: %s.\n", coldReasons(group[0], oracle))
	r.checkFleet(s.name, group[0], oracle)
}

// coldReasons tells where the chats of cold runs were cached.
func coldReasons(f, oracle result) string {
	part := func(x result) string {
		return fmt.Sprintf("%.1f cached nowhere, %.1f at an engine without room, %.1f at one with room",
			100*x.cold[nowhere], 100*x.cold[noRoom], 100*x.cold[withRoom])
	}
	return "fleet " + part(f) + "; oracle " + part(oracle)
}

func (r *report) checkFleet(name string, f, oracle result) {
	if gap := oracle.reuse - f.reuse; gap > reuseTarget {
		r.miss("%s: cache reuse is %.1f points below the oracle (target 2).", name, 100*gap)
	}
	if f.aboveBound > 0 {
		r.miss("%s: %.2f%% of starts are above the bound by exact totals, the worst at %.2f of it (target none).", name, 100*f.aboveBound, f.worst)
	}
	if f.extra > extraTarget {
		r.miss("%s: %.1f%% extra attempts (target 10%%).", name, 100*f.extra)
	}
}

func (x result) failRate() float64 { return float64(x.failed) / float64(max(1, x.requests)) }

func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }

// traffic tabulates what the fleet sends.
func (r *report) traffic(list []scenario, fleets []result) {
	r.line("### Control traffic and key-value calls of the fleet\n")
	r.line("Bytes per second and instance; calls per second of the whole fleet. Redirects and queued answers are per grant.\n")
	r.line("| scenario | bytes | by kind | key-value calls | first choice %% | redirects | queued |")
	r.line("|---|---|---|---|---|---|---|")
	for i, f := range fleets {
		r.line("| %s | %.0f | %s | %s | %.1f | %.2f | %.2f |", list[i].name, f.totalBytes, kinds(f.bytes), calls(f.store), 100*f.firstChoice, f.redirects, f.queuedN)
		if f.totalBytes > 12<<10 {
			r.miss("%s: %.0f control bytes/s per instance (target 12,288).", list[i].name, f.totalBytes)
		}
	}
	r.line("")
}

func kinds(m map[wire.Kind]float64) string {
	named := make(map[string]float64)
	for kind, n := range m {
		named[kind.String()] = n
	}
	return sorted(named, "%s %.0f")
}

func calls(m map[string]float64) string { return sorted(m, "%s %.1f") }

// sorted lists values from the largest on, without those that round to nothing.
func sorted(m map[string]float64, format string) string {
	var names []string
	for name, n := range m {
		if n >= 0.05 {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, k int) bool {
		if m[names[i]] != m[names[k]] {
			return m[names[i]] > m[names[k]]
		}
		return names[i] < names[k]
	})
	for i, name := range names {
		names[i] = fmt.Sprintf(format, name, m[name])
	}
	return strings.Join(names, ", ")
}

// surge compares the other customers' queue times with and without a surge.
func (r *report) surge(seed uint64) {
	r.line("### Surge of one customer to ten times its rate for 60 s\n")
	r.line("Queue times of the other customers that arrive during the surge, 85%% load without it, no churn.\n")
	r.line("| deployment | policy | queue p95 ms without | with | ratio | p99 ms without | with | first token p95 ms without | with | all failed %% with |")
	r.line("|---|---|---|---|---|---|---|---|---|---|")
	for _, z := range []size{kitaminato, fes} {
		results := runAll(surgePlans(seed, z, 0.85))
		for i, policy := range policies {
			plain, surging := results[i], results[len(policies)+i]
			ratio := float64(surging.othersQueue.p95) / float64(max(1, plain.othersQueue.p95))
			r.line("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %.1f |", z.name, policy, ms(plain.othersQueue.p95), ms(surging.othersQueue.p95),
				ratioText(ratio), ms(plain.othersQueue.p99), ms(surging.othersQueue.p99), ms(plain.othersFirst.p95), ms(surging.othersFirst.p95), 100*surging.failRate())
			if policy == policyFleet && ratio > 1+surgeTarget {
				r.miss("%s: a surge raises the others' p95 queue time by %.0f%%, from %s to %s ms (target 10%%).", z.name, 100*(ratio-1), ms(plain.othersQueue.p95), ms(surging.othersQueue.p95))
			}
		}
	}
	r.line("")
}

// ratioText leaves out ratios to waits of zero.
func ratioText(ratio float64) string {
	if ratio > 1e6 {
		return "-"
	}
	return fmt.Sprintf("%.2f", ratio)
}

// faults measures the time to recover from each fault.
func (r *report) faults(seed uint64) {
	r.line("### Recovery from faults\n")
	r.line("Kitaminato at 60%% load for 60 s from the fault on, by comparison with the same session without it: slow requests " +
		"queue at least 0.25 s longer; recovered is the arrival of the last slow or failed one before 10 s without one. Cut connections " +
		"end with their instance, lost requests were in progress.\n")
	r.line("| fault | requests | slow | failed | cut | lost in progress | recovered s | extra attempts %% | starts above bound %% |")
	r.line("|---|---|---|---|---|---|---|---|---|")
	results := runAll(faultPlans(seed))
	for i, f := range faultList {
		c := compareTwin(f.name, results[0], results[i+1])
		r.line("| %s | %d | %d | %d | %d | %d | %.2f | %.2f | %.2f |", c.name, c.requests, c.slow, c.failed, c.cut, c.lost, c.last.Seconds(), 100*c.extra, 100*c.above)
		if c.failed > 0 {
			r.miss("%s: %d requests that arrived after the fault failed.", f.name, c.failed)
		}
	}
	r.line("")
}

const (
	begin = "<!-- generated by make bench -->\n"
	end   = "<!-- end of the generated part -->\n"
)

func (r *report) text(seed uint64) string {
	head := fmt.Sprintf("Command `make bench`, seed %d. Virtual time; the same seed gives the same figures.\n\n%s", seed, legend)
	missed := "### Missed targets\n\nNone.\n"
	if len(r.misses) > 0 {
		missed = "### Missed targets\n\n- " + strings.Join(r.misses, "\n- ") + "\n"
	}
	return head + r.body.String() + missed
}

const legend = `Reuse is the share of returning chats that find their prefix cached. Skew is taken every 100 ms over in-flight
requests by capacity, for baselines with the requests that queue at engines. Starts above the bound are compared with
ceil(1.25 * mean) of the exact loads at that moment. Engines have 16 slots per unit of capacity and take 600 ms to the
first token, 100 ms with a cached prefix, and 20 ms per token. Baselines queue at the engine above its slots, the oracle
in one queue for all engines.

`

// WritePage replaces the generated part of a page, or creates the page.
func WritePage(path, text string) error {
	old, err := os.ReadFile(path)
	if err != nil {
		old = []byte("# Measurements of decisions\n\n" + begin + end)
	}
	head, rest, _ := strings.Cut(string(old), begin)
	_, tail, _ := strings.Cut(rest, end)
	return os.WriteFile(path, []byte(head+begin+"\n"+text+"\n"+end+tail), 0o644)
}
