package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/egress"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/upstream"
)

const (
	// failedAfter is how long a step must have run without a result to count as failed when another one has won.
	failedAfter = 50 * time.Millisecond
	// checkTimeout bounds a check of the direct path.
	checkTimeout = 150 * time.Millisecond
)

// DialFunc opens a TCP connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Config configures a Dialer.
type Config struct {
	// Dial opens direct connections to engines, upstream.NewDialer if nil.
	Dial DialFunc
	// Secret is the secret of the fleet.
	Secret string
	// Clock returns a monotonic time.
	Clock func() time.Duration
	// Metrics is the set to which the metrics are added.
	Metrics *metrics.Set
	// OnChange is called when the instance is cut off from engines, and when it reaches them again. It must not block.
	OnChange func(cutOff bool)
}

// Dialer opens connections to engines. It is safe for concurrent use.
type Dialer struct {
	config  Config
	metrics *counters

	mu       sync.Mutex
	selector *egress.Selector
	cutSince time.Duration
}

// NewDialer returns a dialer that draws peers with seed.
func NewDialer(config Config, seed uint64) *Dialer {
	if config.Dial == nil {
		config.Dial = upstream.NewDialer(0).DialContext
	}
	d := &Dialer{config: config, metrics: newCounters(config.Metrics), selector: egress.New(rand.New(rand.NewPCG(seed, 0)))}
	config.Metrics.NewGauge("bilberry_engines_cut_off", func() float64 {
		if d.CutOff() {
			return 1
		}
		return 0
	})
	return d
}

// PeerUp adds a peer at an address.
func (d *Dialer) PeerUp(id fleet.InstanceID, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.selector.PeerUp(egress.Peer{ID: id, Addr: addr})
}

// PeerDown removes a peer.
func (d *Dialer) PeerDown(id fleet.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.selector.PeerDown(id)
}

// CutOff reports whether the instance reaches engines only through peers.
func (d *Dialer) CutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.selector.CutOff()
}

func (d *Dialer) doubtful() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.selector.Doubtful()
}

// Blames reports whether a failed dial to an engine counts against the engine.
func (d *Dialer) Blames(engine string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.selector.Blames(d.config.Clock(), engine)
}

// dial is a call of DialContext.
type dial struct {
	*Dialer
	engine  string
	steps   []egress.Step
	started []time.Duration
	// done tells which of the started steps have ended.
	done    []bool
	pending int
	results chan result
	errs    []error
}

type result struct {
	step int
	conn net.Conn
	err  error
}

// DialContext opens a connection to an engine. Connections through a peer have a method SingleUse.
func (d *Dialer) DialContext(ctx context.Context, _, engine string) (net.Conn, error) {
	d.mu.Lock()
	now := d.config.Clock()
	c := &dial{Dialer: d, engine: engine, steps: d.selector.Plan(now, engine)}
	d.mu.Unlock()
	d.checkIfDue(engine)
	c.results = make(chan result, len(c.steps))
	stepCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	return c.run(ctx, stepCtx)
}

// run starts the steps one after the other and returns the first connection.
func (c *dial) run(ctx, stepCtx context.Context) (net.Conn, error) {
	next := time.NewTimer(time.Hour)
	defer next.Stop()
	defer c.abandon()
	begin := c.config.Clock()
	c.start(stepCtx)
	for {
		if len(c.started) < len(c.steps) {
			next.Reset(max(0, begin+c.steps[len(c.started)].After-c.config.Clock()))
		}
		select {
		case <-next.C:
			c.start(stepCtx)
		case r := <-c.results:
			c.pending--
			c.done[r.step] = true
			c.record(r.step, r.err)
			if r.err == nil {
				return r.conn, nil
			}
			c.errs = append(c.errs, r.err)
			if c.pending == 0 && len(c.started) < len(c.steps) {
				c.start(stepCtx)
			}
		case <-ctx.Done():
			return nil, errors.Join(append(c.errs, ctx.Err())...)
		}
		if c.pending == 0 && len(c.started) == len(c.steps) {
			return nil, errors.Join(c.errs...)
		}
	}
}

// start begins the next step.
func (c *dial) start(ctx context.Context) {
	i := len(c.started)
	if i == len(c.steps) {
		return
	}
	c.started, c.done = append(c.started, c.config.Clock()), append(c.done, false)
	c.pending++
	go func() {
		conn, err := c.open(ctx, c.steps[i])
		c.results <- result{i, conn, err}
	}()
}

func (c *dial) open(ctx context.Context, s egress.Step) (net.Conn, error) {
	if s.Direct() {
		return c.config.Dial(ctx, "tcp", c.engine)
	}
	conn, err := dialPeer(ctx, s.Peer.Addr, c.config.Secret, c.engine)
	if err != nil {
		return nil, fmt.Errorf("through %s: %w", s.Peer.ID, err)
	}
	return conn, nil
}

// abandon records the steps that have run for long without a result as failed, and closes the connections that still
// open.
func (c *dial) abandon() {
	if c.pending == 0 {
		return
	}
	go func(pending int) {
		for range pending {
			if r := <-c.results; r.err == nil {
				_ = r.conn.Close()
			}
		}
	}(c.pending)
	now := c.config.Clock()
	for i, at := range c.started {
		if !c.done[i] && now-at >= failedAfter {
			c.record(i, context.DeadlineExceeded)
		}
	}
}

// record passes the end of a step to the selector.
func (c *dial) record(step int, err error) {
	s := c.steps[step]
	r := egress.Connected
	switch {
	case err == nil:
	case s.Direct() || errors.Is(err, errEngineUnreachable):
		r = egress.Unreachable
	case errors.Is(err, errDeclined):
		r = egress.Declined
	default:
		r = egress.NoHelp
	}
	c.Dialer.record(c.engine, s, r)
}

func (d *Dialer) record(engine string, s egress.Step, r egress.Result) {
	d.metrics.countDial(s, r)
	d.mu.Lock()
	now := d.config.Clock()
	changed := d.selector.Ended(now, engine, s, r)
	cutOff := d.selector.CutOff()
	lasted := now - d.cutSince
	if changed && cutOff {
		d.cutSince = now
	}
	d.mu.Unlock()
	if !changed {
		return
	}
	if cutOff {
		klog.InfoS("engines_unreachable", "engine", engine, "path", "peers")
	} else {
		klog.InfoS("engines_reachable", "engine", engine, "after_ms", lasted.Milliseconds())
	}
	if d.config.OnChange != nil {
		d.config.OnChange(cutOff)
	}
}

// direct opens a direct connection and records the result.
func (d *Dialer) direct(ctx context.Context, engine string) (net.Conn, error) {
	conn, err := d.config.Dial(ctx, "tcp", engine)
	r := egress.Connected
	if err != nil {
		r = egress.Unreachable
	}
	d.record(engine, egress.Step{}, r)
	return conn, err
}

// checkIfDue starts a check of the instance's own path if one is due.
func (d *Dialer) checkIfDue(engine string) {
	d.mu.Lock()
	due := d.selector.CheckDue(d.config.Clock())
	d.mu.Unlock()
	if due {
		go d.check(engine)
	}
}

// check dials an engine directly to see whether the instance reaches engines again.
func (d *Dialer) check(engine string) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	if conn, err := d.direct(ctx, engine); err == nil {
		_ = conn.Close()
	}
}
