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
	// daemonWarmupTime is the time before daemons are measured, in which the startup grace of
	// membership ends and links open.
	daemonWarmupTime = 15 * time.Second
	// daemonPhaseTime is the length of the idle phase and of the phase under light load.
	daemonPhaseTime = 10 * time.Second
	// loadRatePerInstance is the light load per instance in requests per second.
	loadRatePerInstance = 3
	// publishesPerFile is the number of measured publishes of each changed file.
	publishesPerFile = 3
	// publishTimeout bounds the wait until a publish is in force everywhere.
	publishTimeout = 90 * time.Second
)

// Daemons measures daemon processes of one region at each number of instances: their resource usage
// when idle and under light load, and the time until a publish is in force on all. With publishesOnly
// it measures only that time.
func Daemons(w io.Writer, bin string, sizes []int, publishesOnly bool) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	report := &daemonReport{series: map[string]*Series{}}
	for _, n := range sizes {
		if err := measureDaemons(w, bin, n, report, publishesOnly); err != nil {
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

// daemonReport collects the series by name over all sizes.
type daemonReport struct{ series map[string]*Series }

func (r *daemonReport) addPoint(name, unit string, links, value float64) {
	if r.series[name] == nil {
		r.series[name] = &Series{Name: "daemon: " + name, XName: "links", Unit: unit, Target: float64(TargetSize.Links())}
	}
	r.series[name].Points = append(r.series[name].Points, Point{links, value})
}

func measureDaemons(w io.Writer, bin string, n int, report *daemonReport, publishesOnly bool) error {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return oops.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fleet, err := startDaemonFleet(bin, dir, n)
	if fleet != nil {
		defer fleet.close()
	}
	if err != nil {
		return err
	}
	time.Sleep(daemonWarmupTime)
	if !publishesOnly {
		if err := fleet.measurePhases(w, report); err != nil {
			return err
		}
	}
	return fleet.measurePublishes(w, report)
}

func (f *daemonFleet) measurePhases(w io.Writer, report *daemonReport) error {
	phases := []struct {
		name string
		run  func()
	}{
		{"idle", func() { time.Sleep(daemonPhaseTime) }},
		{"light load", func() { f.sendLoad(w) }},
	}
	for _, phase := range phases {
		before, err := f.usages()
		if err != nil {
			return err
		}
		start := time.Now()
		phase.run()
		after, err := f.usages()
		if err != nil {
			return err
		}
		report.addUsage(phase.name, float64(len(f.daemons)-1), meanRates(before, after, time.Since(start)))
	}
	return nil
}

func (r *daemonReport) addUsage(phase string, links float64, u usage) {
	r.addPoint(phase+" processor time", "% of a core", links, u.cpu.Seconds()*100)
	r.addPoint(phase+" resident", "MB", links, u.resident/1e6)
	totals := map[string]float64{}
	for kind, bytes := range u.control {
		direction, _, _ := strings.Cut(kind, " ")
		totals[direction] += bytes
		if bytes > 0 {
			r.addPoint(phase+" control "+kind, "B/s", links, bytes)
		}
	}
	for direction, bytes := range totals {
		r.addPoint(phase+" control "+direction+", all kinds", "B/s", links, bytes)
	}
}

// sendLoad sends light load for the length of a phase and prints the latencies.
func (f *daemonFleet) sendLoad(w io.Writer) {
	options := load.Options{
		Model: "chat", MaxTokens: 20, Turns: 5, Conversations: 20 * len(f.callerURLs), Stream: true, Seed: trafficSeed,
		Rate: loadRatePerInstance * float64(len(f.callerURLs)), Phase: daemonPhaseTime, Rounds: 1,
	}
	results := load.Compare(context.Background(), options, []load.Target{{Name: "fleet", URLs: f.callerURLs, Key: callerKey}})
	fmt.Fprintf(w, "%d instances, light load: outcomes %v, first token p50 %d us, p99 %d us %s\n", len(f.callerURLs), results[0].CountByKind,
		results[0].FirstTokenLatency.ValueAtQuantile(50), results[0].FirstTokenLatency.ValueAtQuantile(99), results[0].FirstError)
}

// measurePublishes measures the publishes of a change in a small file, caller.yaml, and in a large
// file, customers.yaml.
func (f *daemonFleet) measurePublishes(w io.Writer, report *daemonReport) error {
	current := f.configFiles(0)
	for _, changed := range []string{"caller.yaml", "customers.yaml"} {
		var slowest time.Duration
		for change := 1; change <= publishesPerFile; change++ {
			current[changed] = f.configFiles(change)[changed]
			took, err := f.measurePublish(w, current, changed)
			if err != nil {
				return err
			}
			slowest = max(slowest, took)
		}
		report.addPoint("slowest of "+fmt.Sprint(publishesPerFile)+" publishes of "+changed, "s", float64(len(f.daemons)-1), slowest.Seconds())
	}
	return nil
}

func (f *daemonFleet) measurePublish(w io.Writer, files map[string][]byte, changed string) (time.Duration, error) {
	callsBefore := f.store.Calls()
	accepted, err := f.publish(files)
	if err != nil {
		return 0, err
	}
	err = f.awaitVersion(f.version, publishTimeout)
	var delays []time.Duration
	for _, at := range f.inForceTimes(f.version) {
		if !at.IsZero() {
			delays = append(delays, at.Sub(accepted))
		}
	}
	slices.Sort(delays)
	if err != nil {
		fmt.Fprintf(w, "%d instances, %s of %d bytes: in force on only %d after %s\n",
			len(f.daemons), changed, len(files[changed]), len(delays), publishTimeout)
		return publishTimeout, nil
	}
	after := f.store.Calls()
	fmt.Fprintf(w, "%d instances, %s of %d bytes: in force on half after %s, on all after %s; platform reads %d\n",
		len(f.daemons), changed, len(files[changed]), delays[len(delays)/2].Round(time.Millisecond),
		delays[len(delays)-1].Round(time.Millisecond), after[standin.GetPath]-callsBefore[standin.GetPath])
	time.Sleep(2 * time.Second)
	return delays[len(delays)-1], nil
}
