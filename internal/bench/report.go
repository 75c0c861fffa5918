package bench

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// Targets of docs/design.md. A figure above one of them is listed as a missed target.
const (
	maxReuseGap      = 0.02
	maxExtraAttempts = 0.10
	maxSurgeIncrease = 0.10
)

// report collects the Markdown text of the page and the missed targets.
type report struct {
	body          strings.Builder
	missedTargets []string
}

// addLine adds a formatted line to the text of the page.
func (r *report) addLine(format string, args ...any) { fmt.Fprintf(&r.body, format+"\n", args...) }

func (r *report) addMissedTarget(format string, args ...any) {
	r.missedTargets = append(r.missedTargets, fmt.Sprintf(format, args...))
}

// scenarios runs every scenario with every policy and reports the figures.
func (r *report) scenarios(list []scenario) {
	var plans []plan
	for _, s := range list {
		plans = append(plans, withEveryPolicy(s.plan)...)
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
	r.addLine("### %s\n", s.name)
	r.addLine("%d instances, %d engines, %d requests, %.0f%% of the slots in use (fleet), one engine of ten replaced per minute.\n",
		s.plan.deployment.instances, s.plan.deployment.engines, group[0].requests, 100*group[0].utilisation)
	r.addLine("| policy | reuse %% | below oracle | max/mean avg | p99 | CV | starts above bound %% | worst/bound | queue p50 ms | p95 | p99 | first token p95 ms | p99 | extra %% | failed %% |")
	r.addLine("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	oracle := group[1]
	for _, x := range group {
		r.addLine("| %s | %.1f | %.1f | %.2f | %.2f | %.3f | %.2f | %.2f | %s | %s | %s | %s | %s | %.2f | %.2f |",
			x.plan.policy, 100*x.cacheReuse, 100*(oracle.cacheReuse-x.cacheReuse), x.skewMean, x.skewP99, x.variation, 100*x.shareAboveBound, x.worstRatio,
			ms(x.queueTime.p50), ms(x.queueTime.p95), ms(x.queueTime.p99), ms(x.firstTokenTime.p95), ms(x.firstTokenTime.p99), 100*x.extraAttempts, 100*x.failRate())
	}
	r.addLine("")
	r.addLine("Returning chats that ran cold, in %% of all returning ones: %s.\n", coldReasons(group[0], oracle))
	r.checkFleet(s.name, group[0], oracle)
}

// coldReasons describes where the prefixes of chats that ran cold were cached.
func coldReasons(f, oracle result) string {
	part := func(x result) string {
		return fmt.Sprintf("%.1f cached nowhere, %.1f at an engine without room, %.1f at one with room",
			100*x.coldShares[cachedNowhere], 100*x.coldShares[cachedWithoutRoom], 100*x.coldShares[cachedWithRoom])
	}
	return "fleet " + part(f) + "; oracle " + part(oracle)
}

// checkFleet adds the targets that the fleet misses in a scenario.
func (r *report) checkFleet(name string, f, oracle result) {
	if gap := oracle.cacheReuse - f.cacheReuse; gap > maxReuseGap {
		r.addMissedTarget("%s: cache reuse is %.1f points below the oracle (target 2).", name, 100*gap)
	}
	if f.shareAboveBound > 0 {
		r.addMissedTarget("%s: %.2f%% of starts are above the bound by exact totals, the worst at %.2f of it (target none).", name, 100*f.shareAboveBound, f.worstRatio)
	}
	if f.extraAttempts > maxExtraAttempts {
		r.addMissedTarget("%s: %.1f%% extra attempts (target 10%%).", name, 100*f.extraAttempts)
	}
}

func (x result) failRate() float64 { return float64(x.failed) / float64(max(1, x.requests)) }

func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }

// traffic reports the control traffic and the platform calls of the fleet.
func (r *report) traffic(list []scenario, fleets []result) {
	r.addLine("### Control traffic and key-value calls of the fleet\n")
	r.addLine("Bytes per second and instance; calls per second of the whole fleet. Redirects and queued answers are per grant.\n")
	r.addLine("| scenario | bytes | by kind | key-value calls | first choice %% | redirects | queued |")
	r.addLine("|---|---|---|---|---|---|---|")
	for i, f := range fleets {
		r.addLine("| %s | %.0f | %s | %s | %.1f | %.2f | %.2f |", list[i].name, f.totalBytes, formatKinds(f.bytes), formatCalls(f.storeCalls), 100*f.firstChoiceShare, f.redirects, f.queuedAnswers)
		if f.totalBytes > 12<<10 {
			r.addMissedTarget("%s: %.0f control bytes/s per instance (target 12,288).", list[i].name, f.totalBytes)
		}
	}
	r.addLine("")
}

func formatKinds(m map[wire.Kind]float64) string {
	named := make(map[string]float64)
	for kind, n := range m {
		named[kind.String()] = n
	}
	return formatLargestFirst(named, "%s %.0f")
}

func formatCalls(m map[string]float64) string { return formatLargestFirst(m, "%s %.1f") }

// formatLargestFirst formats names and values in descending order of values. It leaves out
// values below 0.05, which would be shown as zero.
func formatLargestFirst(m map[string]float64, format string) string {
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

// surge reports the queue times of the other customers with and without a surge of one customer.
func (r *report) surge(seed uint64) {
	r.addLine("### Surge of one customer to ten times its rate for 60 s\n")
	r.addLine("Queue times of the other customers that arrive during the surge, 85%% load without it, no churn.\n")
	r.addLine("| deployment | policy | queue p95 ms without | with | ratio | p99 ms without | with | first token p95 ms without | with | all failed %% with |")
	r.addLine("|---|---|---|---|---|---|---|---|---|---|")
	for _, d := range []deployment{kitaminato, fes} {
		results := runAll(surgePlans(seed, d, 0.85))
		for i, policy := range policies {
			plain, surging := results[i], results[len(policies)+i]
			ratio := float64(surging.othersQueueTime.p95) / float64(max(1, plain.othersQueueTime.p95))
			r.addLine("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %.1f |", d.name, policy, ms(plain.othersQueueTime.p95), ms(surging.othersQueueTime.p95),
				ratioText(ratio), ms(plain.othersQueueTime.p99), ms(surging.othersQueueTime.p99), ms(plain.othersFirstTokenTime.p95), ms(surging.othersFirstTokenTime.p95), 100*surging.failRate())
			if policy == policyFleet && ratio > 1+maxSurgeIncrease {
				r.addMissedTarget("%s: a surge raises the others' p95 queue time by %.0f%%, from %s to %s ms (target 10%%).", d.name, 100*(ratio-1), ms(plain.othersQueueTime.p95), ms(surging.othersQueueTime.p95))
			}
		}
	}
	r.addLine("")
}

// ratioText formats a ratio of queue times. It returns "-" above 1e6, since then the queue time
// in the denominator is zero.
func ratioText(ratio float64) string {
	if ratio > 1e6 {
		return "-"
	}
	return fmt.Sprintf("%.2f", ratio)
}

// faults measures and reports the recovery from each fault.
func (r *report) faults(seed uint64) {
	r.addLine("### Recovery from faults\n")
	r.addLine("Kitaminato at 60%% load for 60 s from the fault on, by comparison with the same session without it: slow requests " +
		"queue at least 0.25 s longer; recovered is the arrival of the last slow or failed one before 10 s without one. Cut connections " +
		"end with their instance, lost requests were in progress.\n")
	r.addLine("| fault | requests | slow | failed | cut | lost in progress | recovered s | extra attempts %% | starts above bound %% |")
	r.addLine("|---|---|---|---|---|---|---|---|---|")
	results := runAll(faultPlans(seed))
	for i, f := range faultList {
		c := compareWithReference(f.name, results[0], results[i+1])
		r.addLine("| %s | %d | %d | %d | %d | %d | %.2f | %.2f | %.2f |", c.name, c.requests, c.slow, c.failed, c.connectionsCut, c.lostInProgress, c.lastAffected.Seconds(), 100*c.extraAttempts, 100*c.shareAboveBound)
		if c.failed > 0 {
			r.addMissedTarget("%s: %d requests that arrived after the fault failed.", f.name, c.failed)
		}
	}
	r.addLine("")
}

const (
	generatedBegin = "<!-- generated by make bench -->\n"
	generatedEnd   = "<!-- end of the generated part -->\n"
)

func (r *report) text(seed uint64) string {
	head := fmt.Sprintf("Command `make bench`, seed %d. Virtual time; the same seed gives the same figures.\n\n%s", seed, legend)
	missed := "### Missed targets\n\nNone.\n"
	if len(r.missedTargets) > 0 {
		missed = "### Missed targets\n\n- " + strings.Join(r.missedTargets, "\n- ") + "\n"
	}
	return head + r.body.String() + missed
}

const legend = `Reuse is the share of returning chats that find their prefix cached. Skew is taken every 100 ms over in-flight
requests by capacity, for baselines with the requests that queue at engines. Starts above the bound are compared with
ceil(1.25 * mean) of the exact loads at that moment. Engines have 16 slots per unit of capacity and take 600 ms to the
first token, 100 ms with a cached prefix, and 20 ms per token. Baselines queue at the engine above its slots, the oracle
in one queue for all engines.

`

// WritePage replaces the generated part of a page, or creates the page if it cannot be read.
func WritePage(path, text string) error {
	old, err := os.ReadFile(path)
	if err != nil {
		old = []byte("# Measurements of decisions\n\n" + generatedBegin + generatedEnd)
	}
	head, rest, _ := strings.Cut(string(old), generatedBegin)
	_, tail, _ := strings.Cut(rest, generatedEnd)
	return os.WriteFile(path, []byte(head+generatedBegin+"\n"+text+"\n"+generatedEnd+tail), 0o644)
}
