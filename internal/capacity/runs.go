package capacity

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/internal/load"
	"github.com/bilberrywell/bilberrywell/platform/standin"
)

const (
	// warmTime lets probation and link set-up end before daemons are measured.
	warmTime = 15 * time.Second
	// daemonTime is the length of an idle or a loaded phase.
	daemonTime = 10 * time.Second
	// loadPerInstance is the light load in requests per second.
	loadPerInstance = 3
	// spreads is the number of measured publishes of each kind.
	spreads = 3
	// spreadLimit ends the wait for a publish.
	spreadLimit = 90 * time.Second
)

// Daemons measures real processes at each number of instances of one region: idle, under
// light load, and the time until a publish is in force everywhere.
func Daemons(w io.Writer, bin string, sizes []int, spreadOnly bool) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	report := &daemonReport{series: map[string]*Series{}}
	for _, n := range sizes {
		if err := daemonsOf(w, bin, n, report, spreadOnly); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(report.series)) {
		if len(sizes) > 1 {
			fmt.Fprintln(w, report.series[name])
		}
	}
	return nil
}

// daemonReport collects the series of all sizes.
type daemonReport struct{ series map[string]*Series }

func (r *daemonReport) add(name, unit string, links, value float64) {
	if r.series[name] == nil {
		r.series[name] = &Series{Name: "daemon: " + name, XName: "links", Unit: unit, Target: float64(Target.Links())}
	}
	r.series[name].Points = append(r.series[name].Points, Point{links, value})
}

func daemonsOf(w io.Writer, bin string, n int, report *daemonReport, spreadOnly bool) error {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return oops.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	p, err := startProcesses(bin, dir, n)
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return err
	}
	time.Sleep(warmTime)
	if !spreadOnly {
		if err := p.phases(w, report); err != nil {
			return err
		}
	}
	return p.spread(w, report)
}

func (p *processes) phases(w io.Writer, report *daemonReport) error {
	phases := []struct {
		name string
		run  func()
	}{
		{"idle", func() { time.Sleep(daemonTime) }},
		{"light load", func() { p.load(w) }},
	}
	for _, phase := range phases {
		before, err := p.usages()
		if err != nil {
			return err
		}
		start := time.Now()
		phase.run()
		after, err := p.usages()
		if err != nil {
			return err
		}
		report.observe(phase.name, float64(len(p.children)-1), rates(before, after, time.Since(start)))
	}
	return nil
}

func (r *daemonReport) observe(phase string, links float64, u usage) {
	r.add(phase+" processor time", "% of a core", links, u.cpu.Seconds()*100)
	r.add(phase+" resident", "MB", links, u.resident/1e6)
	totals := map[string]float64{}
	for kind, bytes := range u.control {
		direction, _, _ := strings.Cut(kind, " ")
		totals[direction] += bytes
		if bytes > 0 {
			r.add(phase+" control "+kind, "B/s", links, bytes)
		}
	}
	for direction, bytes := range totals {
		r.add(phase+" control "+direction+", all kinds", "B/s", links, bytes)
	}
}

// load sends light load for the length of a phase.
func (p *processes) load(w io.Writer) {
	options := load.Options{
		Model: "chat", MaxTokens: 20, Turns: 5, Conversations: 20 * len(p.callers), Stream: true, Seed: trafficSeed,
		Rate: loadPerInstance * float64(len(p.callers)), Phase: daemonTime, Rounds: 1,
	}
	results := load.Compare(context.Background(), options, []load.Target{{Name: "fleet", URLs: p.callers, Key: callerKey}})
	fmt.Fprintf(w, "%d instances, light load: ends %v, first token p50 %d us, p99 %d us %s\n", len(p.callers), results[0].Kinds,
		results[0].FirstTokenLatency.ValueAtQuantile(50), results[0].FirstTokenLatency.ValueAtQuantile(99), results[0].FirstError)
}

// spread measures publishes of a large and of a small changed file.
func (p *processes) spread(w io.Writer, report *daemonReport) error {
	current := p.files(0)
	for _, changed := range []string{"caller.yaml", "customers.yaml"} {
		var slowest time.Duration
		for change := 1; change <= spreads; change++ {
			current[changed] = p.files(change)[changed]
			took, err := p.spreadOnce(w, current, changed)
			if err != nil {
				return err
			}
			slowest = max(slowest, took)
		}
		report.add("slowest of "+fmt.Sprint(spreads)+" publishes of "+changed, "s", float64(len(p.children)-1), slowest.Seconds())
	}
	return nil
}

func (p *processes) spreadOnce(w io.Writer, files map[string][]byte, changed string) (time.Duration, error) {
	callsBefore := p.store.Calls()
	accepted, err := p.publish(files)
	if err != nil {
		return 0, err
	}
	err = p.awaitVersion(p.version, spreadLimit)
	var delays []time.Duration
	for _, at := range p.inForceTimes(p.version) {
		if !at.IsZero() {
			delays = append(delays, at.Sub(accepted))
		}
	}
	slices.Sort(delays)
	if err != nil {
		fmt.Fprintf(w, "%d instances, %s of %d bytes: in force on %d only after %s\n",
			len(p.children), changed, len(files[changed]), len(delays), spreadLimit)
		return spreadLimit, nil
	}
	after := p.store.Calls()
	fmt.Fprintf(w, "%d instances, %s of %d bytes: in force on half after %s, on all after %s; platform reads %d\n",
		len(p.children), changed, len(files[changed]), delays[len(delays)/2].Round(time.Millisecond),
		delays[len(delays)-1].Round(time.Millisecond), after[standin.GetPath]-callsBefore[standin.GetPath])
	time.Sleep(2 * time.Second)
	return delays[len(delays)-1], nil
}
