package experiment

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
)

// result is the end of a request as its caller sees it.
type result uint8

const (
	// unfinished: the request has no result yet.
	unfinished result = iota
	// inTime: the caller has the whole response, and the first event of a stream came within the target.
	inTime
	// late: the caller has the whole response, but not within the target.
	late
	// refused: the request has not run.
	refused
	// failed: the request may have run, and the caller has no response or a failure.
	failed
)

// Options selects what Run plays. Patterns and Settings are lists of names with commas; empty lists select all.
type Options struct {
	// Seed is the first of Seeds seeds. Their requests count together.
	Seed, Seeds        uint64
	Patterns, Settings string
	// Dir is the folder for the table and the plots. It is created.
	Dir string
}

// Run plays each selected pattern with each selected setting, prints a table of the results to out and writes it with the
// plots to the folder.
func Run(o Options, out io.Writer) error {
	if o.Seeds < 1 {
		return oops.Errorf("number of seeds is %d; at least 1 is needed", o.Seeds)
	}
	selected, err := selectNamed("pattern", o.Patterns, patterns, func(p pattern) string { return p.name })
	if err != nil {
		return err
	}
	compared, err := selectNamed("setting", o.Settings, settings, func(s setting) string { return s.name })
	if err != nil {
		return err
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return oops.Wrapf(err, "folder for the results")
	}
	f, err := os.Create(filepath.Join(o.Dir, "table.md"))
	if err != nil {
		return oops.Wrapf(err, "table")
	}
	defer func() { _ = f.Close() }()
	for _, p := range selected {
		var runs []*simulation
		for _, s := range compared {
			runs = append(runs, runSeeds(p, s, o))
		}
		if _, err := io.WriteString(io.MultiWriter(f, out), table(p, o, compared, runs)); err != nil {
			return oops.Wrapf(err, "table")
		}
		if err := writePlots(o.Dir, p, compared, runs); err != nil {
			return oops.Wrapf(err, "plots of pattern %s", p.name)
		}
	}
	return oops.Wrapf(f.Close(), "table")
}

// selectNamed returns the items whose names are in a list with commas, or all if the list is empty.
func selectNamed[T any](what, names string, all []T, nameOf func(T) string) ([]T, error) {
	if names == "" {
		return all, nil
	}
	var selected []T
	for name := range strings.SplitSeq(names, ",") {
		i := slices.IndexFunc(all, func(item T) bool { return nameOf(item) == name })
		if i < 0 {
			var known []string
			for _, item := range all {
				known = append(known, nameOf(item))
			}
			return nil, oops.Errorf("unknown %s %q; known are %s", what, name, strings.Join(known, ", "))
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}

// share is a part of a trace: the requests of a kind or of a customer group.
type share struct {
	name     string
	requests []*request
}

// shares returns all requests of a run, and those of each kind and each customer group if there are several.
func (sim *simulation) shares() []share {
	list := []share{{"all", sim.trace}}
	for _, nameOf := range []func(*stream) string{
		func(s *stream) string { return "kind " + s.kind.name },
		func(s *stream) string { return "customers " + s.group },
	} {
		var parts []share
		for i := range sim.pattern.streams {
			name := nameOf(&sim.pattern.streams[i])
			if !slices.ContainsFunc(parts, func(s share) bool { return s.name == name }) {
				others := func(r *request) bool { return nameOf(r.stream) != name }
				parts = append(parts, share{name, slices.DeleteFunc(slices.Clone(sim.trace), others)})
			}
		}
		if len(parts) > 1 {
			list = append(list, parts...)
		}
	}
	return list
}

// percentOf returns the share of requests with a result, in percent; 0 of no requests.
func percentOf(requests []*request, want result) float64 {
	n := 0
	for _, r := range requests {
		if r.result == want {
			n++
		}
	}
	return 100 * float64(n) / float64(max(1, len(requests)))
}

// waitQuantile returns a quantile of the waits of the requests that got a response, in milliseconds; 0 of none.
func waitQuantile(requests []*request, q float64) float64 {
	var waits []time.Duration
	for _, r := range requests {
		if r.result == inTime || r.result == late {
			waits = append(waits, r.wait)
		}
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return float64(waits[min(int(q*float64(len(waits))), len(waits)-1)]) / float64(time.Millisecond)
}

// table returns the results of a pattern's runs in Markdown.
func table(p pattern, o Options, settings []setting, runs []*simulation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\nPattern: %s. %d instances, %d engines of %d slots, %s with each of the seeds %d to %d.\n\n", p.name, p.summary,
		instanceCount, engineCount, engineLimits.slots, p.duration, o.Seed, o.Seed+o.Seeds-1)
	b.WriteString("| requests | setting | count | in time % | late % | refused % | failed % | wait p50 ms | p95 | p99 |\n" +
		"|---|---|---|---|---|---|---|---|---|---|\n")
	for i, first := range runs[0].shares() {
		for j, s := range settings {
			part := runs[j].shares()[i].requests
			fmt.Fprintf(&b, "| %s | %s | %d | %.1f | %.1f | %.1f | %.1f | %.0f | %.0f | %.0f |\n", first.name, s.name, len(part),
				percentOf(part, inTime), percentOf(part, late), percentOf(part, refused), percentOf(part, failed),
				waitQuantile(part, 0.5), waitQuantile(part, 0.95), waitQuantile(part, 0.99))
		}
	}
	b.WriteString("\n| setting | attempts | rejected by engines | repeated by callers |\n|---|---|---|---|\n")
	for j, s := range settings {
		fmt.Fprintf(&b, "| %s | %d | %d | %d |\n", s.name, runs[j].attempts, runs[j].rejections, runs[j].callerRetries)
	}
	return b.String() + "\n"
}
