// Command standin serves one stand-in for a store, an engine or a service on a loopback address.
// It prints the address it listens on and runs until SIGINT or SIGTERM.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/servicesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
	"github.com/bilberrywell/bilberrywell/platform/standin"
)

// options are the command line's settings.
type options struct {
	kind     string
	addr     string
	id       string
	rates    standin.Rates
	engine   enginesim.Options
	service  servicesim.Options
	adapters string
}

func main() {
	o := parseFlags()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	addr, server, err := o.start()
	if err != nil {
		klog.Exit(err)
	}
	fmt.Println(addr)
	<-stop
	_ = server.Close()
}

func parseFlags() *options {
	o := &options{}
	flag.StringVar(&o.kind, "kind", "", "store, engine or service")
	flag.StringVar(&o.addr, "addr", "127.0.0.1:0", "loopback address to listen on")
	flag.StringVar(&o.id, "id", "", "id of the engine or service")
	flag.IntVar(&o.rates.Writes, "writes", 300, "store: writes/s (0: no limit)")
	flag.IntVar(&o.rates.Reads, "reads", 2000, "store: reads/s (0: no limit)")
	o.engineFlags()
	flag.DurationVar(&o.service.Delay, "delay", 0, "service: time before the effect of a call")
	flag.BoolVar(&o.service.Idempotent, "idempotent", false, "service: run each idempotency key once")
	flag.Parse()
	return o
}

func (o *options) engineFlags() {
	e := &o.engine
	flag.StringVar(&e.Model, "model", "", "engine: model (default: serves any)")
	flag.StringVar(&e.Version, "version", "", "engine: version of the model")
	flag.StringVar(&e.Role, "role", "", "engine: role")
	flag.StringVar(&o.adapters, "adapters", "", "engine: adapters, separated by commas")
	flag.IntVar(&e.Slots, "slots", 8, "engine, service: requests that run at once; a service only reports them")
	flag.IntVar(&e.Queue, "queue", 0, "engine: requests that wait inside the engine")
	flag.Float64Var(&e.TokensPerSecond, "token-rate", 50, "engine: tokens/s of a stream (0: no limit)")
	flag.Float64Var(&e.BatchSlowdown, "batch-slowdown", 0, "engine: share by which a full batch slows a step")
	flag.DurationVar(&e.FirstToken, "first-token", 20*time.Millisecond, "engine: time to the first token")
	flag.DurationVar(&e.PrefillPerToken, "prefill", 0, "engine: time for each prompt token that is not cached")
	flag.IntVar(&e.CacheTokens, "cache-tokens", 200_000, "engine: size of the prompt cache")
	flag.DurationVar(&e.LoadLag, "load-lag", 0, "engine: lag of the load report")
	flag.DurationVar(&e.EventLag, "event-lag", 0, "engine: lag of cache events")
	flag.Float64Var(&e.EventDrop, "event-drop", 0, "engine: probability that a cache event is dropped")
	flag.Uint64Var(&e.Seed, "seed", 1, "engine: seed of dropped events")
	flag.BoolVar(&e.CheckFence, "check-fence", true, "engine: refuse orders with an old fencing number")
	flag.DurationVar(&e.OrderTime, "order-time", 0, "engine: time to load another model or version")
}

// start serves the stand-in of the chosen kind. It returns its address and the closer that stops it.
func (o *options) start() (string, io.Closer, error) {
	if o.kind == "store" {
		store, err := standin.ServeStore(o.addr)
		if err != nil {
			return "", nil, err
		}
		store.SetRates(o.rates)
		return store.Addr, store, nil
	}
	server, err := o.startBackend()
	if err != nil {
		return "", nil, err
	}
	return server.Addr, server, nil
}

// startBackend serves an engine or a service.
func (o *options) startBackend() (*simutil.Server, error) {
	switch o.kind {
	case "engine":
		return o.startEngine()
	case "service":
		o.service.ID = o.id
		o.service.Slots = o.engine.Slots
		// Restarted processes must not repeat an incarnation.
		o.service.Incarnation = uint64(time.Now().UnixMilli())
		return servicesim.New(o.service).Start(o.addr)
	}
	return nil, oops.Errorf("unknown kind %q: want store, engine or service", o.kind)
}

func (o *options) startEngine() (*simutil.Server, error) {
	o.engine.ID = o.id
	if o.adapters != "" {
		o.engine.Adapters = strings.Split(o.adapters, ",")
	}
	// Restarted processes must not repeat an incarnation.
	o.engine.Incarnation = uint64(time.Now().UnixMilli())
	return enginesim.New(o.engine).Start(o.addr)
}
