// Package demo is the driver of a demonstration. It runs a fleet of seven daemons against stand-ins
// for the platform, the engines and the services. It sends conversations of several turns, and orders,
// which are calls that must not run twice. Meanwhile it makes a planned stop of an engine and kills an
// instance. It checks every answer and reports the results and the measured cache reuse, load skew and
// control traffic.
package demo

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
)

const (
	// readyTimeout bounds the wait until a publish is accepted, and the wait until every instance
	// answers.
	readyTimeout = 15 * time.Second
	// stopLimit is the time after which a stopped engine must not get new work (invariant I5).
	stopLimit = 3 * time.Second
	// killedInstance is the index of the instance that is killed.
	killedInstance = 3
	pollInterval   = 20 * time.Millisecond
)

// Options are the settings of a run.
type Options struct {
	// Dir is the directory of the operators' files.
	Dir string
	// Bin is the directory of the daemon's and the CLI's binaries.
	Bin string
	// SelfCheck replaces the daemons with a directRouter in this process, to check the driver.
	SelfCheck bool
	Plan      Plan
	Timeout   time.Duration
}

// run is one run of the demo on an example.
type run struct {
	options   Options
	example   *Example
	standIns  *StandIns
	router    router
	configDir string
	traffic   *traffic
	skew      skewSampler
	report    Report
}

// Run runs the demo on one example. Before it returns, it stops everything that it started. It must
// be called from a goroutine that is locked to its thread.
func Run(ctx context.Context, options Options) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "bilberry-demo-")
	if err != nil {
		return nil, oops.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &run{options: options}
	defer r.close()
	if err := r.start(dir); err != nil {
		return nil, err
	}
	if err := r.execute(ctx); err != nil {
		return nil, oops.Wrapf(err, "%s", logTails(dir))
	}
	return &r.report, nil
}

// start serves the stand-ins and starts the fleet.
func (r *run) start(dir string) (err error) {
	if r.example, err = LoadExample(r.options.Dir); err != nil {
		return err
	}
	if r.example.firstService(kindChat) == nil {
		return oops.Errorf("%s has no chat service", r.options.Dir)
	}
	if r.standIns, err = NewStandIns(r.example); err != nil {
		return err
	}
	r.configDir = filepath.Join(dir, "files")
	if err = r.example.Write(r.configDir, r.standIns.ServedAddrs); err != nil {
		return err
	}
	if r.options.SelfCheck {
		r.router, err = startDirectRouter(r.standIns, r.example)
		return err
	}
	r.router, err = startDaemonFleet(r.options.Bin, dir, r.standIns, r.example)
	return err
}

func (r *run) close() {
	if r.router != nil {
		r.router.close()
	}
	if r.standIns != nil {
		r.standIns.Close()
	}
}

// execute publishes the files, sends the traffic while it injects the faults, and fills in the report.
func (r *run) execute(ctx context.Context) error {
	if err := r.publishUntilAccepted(ctx); err != nil {
		return err
	}
	r.traffic = newTraffic(r.options.Plan, r.example, r.router.baseURLs())
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	before := r.readMetrics(ctx)
	start := time.Now()
	sampling, stopSampling := context.WithCancel(ctx)
	var samplers conc.WaitGroup
	samplers.Go(func() {
		r.skew.sampleUntilDone(sampling, r.standIns, r.example.firstService(kindChat), r.example.LoadBound)
	})
	var faults conc.WaitGroup
	var faultErr error
	faults.Go(func() { faultErr = r.injectFaults(ctx) })
	r.traffic.run(ctx)
	stopSampling()
	samplers.Wait()
	r.report.Elapsed = time.Since(start)
	r.report.ControlUsage = usageBetween(before, r.readMetrics(ctx), r.report.Elapsed)
	faults.Wait()
	r.fillReport()
	return faultErr
}

// publishUntilAccepted repeats the first publish until it succeeds, because the daemons may still be
// starting.
func (r *run) publishUntilAccepted(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := r.router.publish(ctx, r.configDir)
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, 10*pollInterval)
	}
}

// awaitReady waits until every instance answers a chat.
func (r *run) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	probes := pool.New().WithErrors()
	for _, base := range r.router.baseURLs() {
		probes.Go(func() error { return r.awaitAnswer(ctx, base) })
	}
	return probes.Wait()
}

// awaitAnswer sends chats to an instance until it answers one.
func (r *run) awaitAnswer(ctx context.Context, base string) error {
	service := r.example.firstService(kindChat)
	client := &callersim.Client{HTTP: r.traffic.http, Base: base, Key: r.example.keyFor(service.ID)}
	question := enginesim.Message{Role: "user", Content: enginesim.Content("ready, " + base)}
	request := enginesim.Request{Model: service.Model, Messages: []enginesim.Message{question}}
	last := callersim.ChatResult{}
	for ctx.Err() == nil {
		result := client.Chat(ctx, "ready-"+base, request)
		if result.Kind == callersim.Complete {
			return nil
		}
		if ctx.Err() == nil {
			last = result
		}
		sleep(ctx, pollInterval)
	}
	return oops.Errorf("instance at %s is not ready: %s %s", base, last.Kind, last.Detail)
}

// keyFor returns the API key of the first customer that may use a service.
func (e *Example) keyFor(service string) string {
	for _, c := range e.Customers {
		if c.allows(service) {
			return c.Key
		}
	}
	return ""
}

// injectFaults makes a planned stop of an engine after a third of the traffic and kills an instance
// after two thirds.
func (r *run) injectFaults(ctx context.Context) error {
	total := int64(r.options.Plan.total())
	r.awaitCalls(ctx, total/3)
	engine := r.busiestEngine()
	klog.Infof("planned stop of engine %s", engine)
	r.report.StoppedEngine = engine
	if err := writeStop(r.configDir, engine); err != nil {
		return err
	}
	if err := r.router.publish(ctx, r.configDir); err != nil {
		return oops.Wrapf(err, "publish the stop of %s", engine)
	}
	r.skew.stoppedEngine.Store(engine)
	sleep(ctx, stopLimit)
	stopped := r.standIns.Engines[engine]
	runsAtLimit := stopped.Runs()
	r.awaitCalls(ctx, 2*total/3)
	r.report.CutByStop = unfinishedRuns(stopped)
	klog.Infof("kill instance %d", killedInstance+1)
	r.traffic.killedInstance.Store(killedInstance)
	r.skew.killedAt.Store(time.Now().UnixNano())
	if err := r.router.kill(killedInstance); err != nil {
		return err
	}
	r.awaitCalls(ctx, total)
	r.report.RunsAfterStop = stopped.Runs() - runsAtLimit
	return nil
}

// awaitCalls waits until a number of calls have ended, or ctx ends.
func (r *run) awaitCalls(ctx context.Context, calls int64) {
	for r.traffic.doneCalls.Load() < calls && ctx.Err() == nil {
		sleep(ctx, pollInterval)
	}
}

// busiestEngine returns the chat engine with the most runs.
func (r *run) busiestEngine() string {
	best, most := "", -1
	for _, engine := range r.example.firstService(kindChat).Engines {
		if runs := r.standIns.Engines[engine.ID].Runs(); runs > most {
			best, most = engine.ID, runs
		}
	}
	return best
}

// unfinishedRuns returns the number of runs of an engine that ended before the answer was complete.
func unfinishedRuns(engine *enginesim.Engine) int {
	count := 0
	for _, entry := range engine.Log() {
		if entry.Ended && !entry.Finished {
			count++
		}
	}
	return count
}

// readMetrics reads the metrics of all instances. It omits the killed instance and those that fail.
func (r *run) readMetrics(ctx context.Context) map[int]metricValues {
	readings := map[int]metricValues{}
	for i := range r.router.baseURLs() {
		if r.traffic.killedInstance.Load() == int64(i) {
			continue
		}
		values, err := r.router.metrics(ctx, i)
		if err != nil {
			r.report.MetricsError = err.Error()
			continue
		}
		readings[i] = values
	}
	return readings
}

// logTails returns the last 400 bytes of each daemon's log.
func logTails(dir string) string {
	const tail = 400
	text := ""
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, log := range logs {
		content, _ := os.ReadFile(log)
		if len(content) > 0 {
			text += filepath.Base(log) + ": " + string(content[max(0, len(content)-tail):]) + "\n"
		}
	}
	return text
}
