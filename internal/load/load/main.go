// Command load sends chats and orders to a fleet and chats to engines directly, and compares the
// two in one run. With -streams it instead holds many open streams and measures the memory of a
// process.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/load"
)

// flags are the command line's settings.
type flags struct {
	options        load.Options
	direct, via    string
	key, orderPath string
	streams, pid   int
	hold           time.Duration
}

func main() {
	f := parseFlags()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	targets := f.targets()
	if len(targets) == 0 {
		klog.Exit("set -direct, -via or both")
	}
	if f.streams > 0 {
		f.holdStreams(ctx, targets[len(targets)-1])
		return
	}
	results := load.Compare(ctx, f.options, targets)
	errors := 0
	for _, result := range results {
		result.Write(os.Stdout)
		errors += result.Errors()
	}
	if len(results) == 2 {
		load.WriteComparison(os.Stdout, results[0], results[1])
	}
	if errors > 0 {
		klog.Exitf("%d requests were not answered", errors)
	}
}

// holdStreams measures the memory that open streams take.
func (f *flags) holdStreams(ctx context.Context, target load.Target) {
	streams, err := load.HoldStreams(ctx, f.options, target, f.streams, f.pid, f.hold)
	if err != nil {
		klog.Exit(err)
	}
	streams.Write(os.Stdout)
	if streams.Failed > 0 || streams.Ended > 0 {
		klog.Exit("some streams failed to open or ended while held")
	}
}

func parseFlags() *flags {
	f := &flags{}
	o := &f.options
	flag.StringVar(&f.direct, "direct", "", "URLs of engines, separated by commas")
	flag.StringVar(&f.via, "via", "", "URLs of instances, separated by commas")
	flag.StringVar(&f.key, "key", "", "API key for the instances")
	flag.StringVar(&f.orderPath, "order-path", "", "path of orders on the instances, such as /v1/services/ordering/orders")
	flag.IntVar(&f.streams, "streams", 0, "hold this many open streams instead")
	flag.IntVar(&f.pid, "pid", 0, "process whose memory is read, with -streams")
	flag.DurationVar(&f.hold, "hold", 3*time.Second, "how long streams are held")
	flag.StringVar(&o.Model, "model", "", "model")
	flag.IntVar(&o.MaxTokens, "tokens", 16, "length of an answer in tokens")
	flag.IntVar(&o.Turns, "turns", 5, "turns of a conversation")
	flag.IntVar(&o.Conversations, "conversations", 200, "conversations that take turns")
	flag.Float64Var(&o.OrderShare, "order-share", 0.1, "share of orders, with -order-path")
	flag.IntVar(&o.Workers, "workers", 16, "closed-loop senders, without -rate")
	flag.Float64Var(&o.Rate, "rate", 0, "open-loop requests/s with Poisson arrivals")
	flag.BoolVar(&o.Stream, "stream", true, "ask for streamed answers")
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of arrivals and of the draw of orders")
	flag.DurationVar(&o.Warmup, "warmup", time.Second, "part of each phase that is not recorded")
	flag.DurationVar(&o.Phase, "phase", 3*time.Second, "recorded part of each phase")
	flag.IntVar(&o.Rounds, "rounds", 4, "phases of each target")
	flag.Parse()
	return f
}

// targets returns the targets that are set, the direct one first.
func (f *flags) targets() []load.Target {
	var targets []load.Target
	if f.direct != "" {
		targets = append(targets, load.Target{Name: "direct", URLs: strings.Split(f.direct, ",")})
	}
	if f.via != "" {
		via := load.Target{Name: "via", URLs: strings.Split(f.via, ","), Key: f.key, OrderPath: f.orderPath}
		targets = append(targets, via)
	}
	return targets
}
