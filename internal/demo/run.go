// Package demo drives a whole fleet against the stand-ins: seven daemons, chats that
// return, orders that must not run twice, a planned stop of an engine and the kill of an
// instance. It checks every answer and reports what it measured.
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
	// readyTimeout bounds the wait until every instance answers.
	readyTimeout = 15 * time.Second
	// stopTime is when a stopped engine must no longer get new work (I5).
	stopTime = 3 * time.Second
	// killedInstance is the instance that is killed.
	killedInstance = 3
	pollEvery      = 20 * time.Millisecond
)

// Options are the settings of a run.
type Options struct {
	// Dir is the directory of the operators' files.
	Dir string
	// Bin is the directory of the daemon's and the CLI's binaries.
	Bin string
	// SelfCheck replaces the daemons with a direct route in this process.
	SelfCheck bool
	Plan      Plan
	Timeout   time.Duration
}

// run is a run in progress.
type run struct {
	options Options
	example *Example
	world   *World
	router  router
	files   string
	traffic *traffic
	skew    skew
	report  Report
}

// Run runs the demo on one example. Nothing that it started is left when it returns. It
// must be called from a goroutine that is locked to its thread.
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
	if err := r.drive(ctx); err != nil {
		return nil, oops.Wrapf(err, "%s", lastLines(dir))
	}
	return &r.report, nil
}

// start serves the stand-ins and starts the fleet.
func (r *run) start(dir string) (err error) {
	if r.example, err = LoadExample(r.options.Dir); err != nil {
		return err
	}
	if r.example.first(kindChat) == nil {
		return oops.Errorf("%s has no chat service", r.options.Dir)
	}
	if r.world, err = NewWorld(r.example); err != nil {
		return err
	}
	r.files = filepath.Join(dir, "files")
	if err = r.example.Write(r.files, r.world.Addrs); err != nil {
		return err
	}
	if r.options.SelfCheck {
		r.router, err = startDirect(r.world, r.example)
		return err
	}
	r.router, err = startDaemons(r.options.Bin, dir, r.world, r.example)
	return err
}

func (r *run) close() {
	if r.router != nil {
		r.router.close()
	}
	if r.world != nil {
		r.world.Close()
	}
}

// drive publishes, sends the traffic with the faults in it, and fills in the report.
func (r *run) drive(ctx context.Context) error {
	if err := r.publishFirst(ctx); err != nil {
		return err
	}
	r.traffic = newTraffic(r.options.Plan, r.example, r.router.bases())
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	before := r.readMetrics(ctx)
	start := time.Now()
	sampling, stopSampling := context.WithCancel(ctx)
	var watchers conc.WaitGroup
	watchers.Go(func() {
		r.skew.watch(sampling, r.world, r.example.first(kindChat), r.example.LoadBound)
	})
	var faults conc.WaitGroup
	var faultErr error
	faults.Go(func() { faultErr = r.faults(ctx) })
	r.traffic.run(ctx)
	stopSampling()
	watchers.Wait()
	r.report.Elapsed = time.Since(start)
	r.report.Usage = usageOf(before, r.readMetrics(ctx), r.report.Elapsed)
	faults.Wait()
	r.fill()
	return faultErr
}

// publishFirst publishes until the fleet takes the files: the daemons have just started.
func (r *run) publishFirst(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := r.router.publish(ctx, r.files)
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, 10*pollEvery)
	}
}

// awaitReady waits until every instance answers a chat.
func (r *run) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	probes := pool.New().WithErrors()
	for _, base := range r.router.bases() {
		probes.Go(func() error { return r.probe(ctx, base) })
	}
	return probes.Wait()
}

// probe sends chats to an instance until it answers one.
func (r *run) probe(ctx context.Context, base string) error {
	service := r.example.first(kindChat)
	client := &callersim.Client{HTTP: r.traffic.http, Base: base, Key: r.example.keyFor(service.ID)}
	question := enginesim.Message{Role: "user", Content: enginesim.Content("ready, " + base)}
	request := enginesim.Request{Model: service.Model, Messages: []enginesim.Message{question}}
	last := callersim.ChatResult{}
	for ctx.Err() == nil {
		result := client.Chat(ctx, "ready-"+base, request)
		if result.Kind == callersim.OK {
			return nil
		}
		if ctx.Err() == nil {
			last = result
		}
		sleep(ctx, pollEvery)
	}
	return oops.Errorf("instance at %s is not ready: %s %s", base, last.Kind, last.Detail)
}

// keyFor returns the key of a customer of a service.
func (e *Example) keyFor(service string) string {
	for _, c := range e.Customers {
		if c.allows(service) {
			return c.Key
		}
	}
	return ""
}

// faults stops an engine by plan after a third of the traffic and kills an instance after
// two thirds.
func (r *run) faults(ctx context.Context) error {
	total := int64(r.options.Plan.total())
	r.awaitDone(ctx, total/3)
	engine := r.busiest()
	klog.Infof("stop engine %s by plan", engine)
	r.report.StoppedEngine = engine
	if err := writeStop(r.files, engine); err != nil {
		return err
	}
	if err := r.router.publish(ctx, r.files); err != nil {
		return oops.Wrapf(err, "publish the stop of %s", engine)
	}
	r.skew.stopped.Store(engine)
	sleep(ctx, stopTime)
	stopped := r.world.Engines[engine]
	runs := stopped.Runs()
	r.awaitDone(ctx, 2*total/3)
	r.report.CutByStop = unfinished(stopped)
	klog.Infof("kill instance %d", killedInstance+1)
	r.traffic.killed.Store(killedInstance)
	r.skew.killed.Store(time.Now().UnixNano())
	if err := r.router.kill(killedInstance); err != nil {
		return err
	}
	r.awaitDone(ctx, total)
	r.report.RunsAfterStop = stopped.Runs() - runs
	return nil
}

// awaitDone waits until a number of calls has ended.
func (r *run) awaitDone(ctx context.Context, calls int64) {
	for r.traffic.done.Load() < calls && ctx.Err() == nil {
		sleep(ctx, pollEvery)
	}
}

// busiest returns the chat engine with the most runs.
func (r *run) busiest() string {
	best, most := "", -1
	for _, engine := range r.example.first(kindChat).Engines {
		if runs := r.world.Engines[engine.ID].Runs(); runs > most {
			best, most = engine.ID, runs
		}
	}
	return best
}

// unfinished counts the runs of an engine that ended early.
func unfinished(engine *enginesim.Engine) int {
	count := 0
	for _, entry := range engine.Log() {
		if entry.Ended && !entry.Finished {
			count++
		}
	}
	return count
}

// readMetrics reads the metrics of all instances. It leaves out those that fail.
func (r *run) readMetrics(ctx context.Context) map[int]series {
	readings := map[int]series{}
	for i := range r.router.bases() {
		if r.traffic.killed.Load() == int64(i) {
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

// lastLines returns the ends of the daemons' logs.
func lastLines(dir string) string {
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
