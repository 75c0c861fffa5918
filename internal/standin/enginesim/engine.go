// Package enginesim simulates a model engine that serves chat completions.
//
// An answer is a function of the request's messages and max_tokens (see Answer), so that a client
// can check that it got the complete answer to its own request. The engine has a limited number
// of slots, decodes all running requests in one batch, caches prompt prefixes up to a limit of
// tokens, and accepts orders that change its model or role. Every timing and fault can be set.
package enginesim

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

// Options are the settings of an engine.
type Options struct {
	ID       string
	Model    string
	Version  string
	Role     string
	Adapters []string
	// Slots is the maximum number of requests that run at once, and Queue the maximum number
	// that wait inside the engine. The default is 8 slots and no queue.
	Slots int
	Queue int
	// TokensPerSecond is the token rate of a stream that is decoded alone. Zero means no limit.
	TokensPerSecond float64
	// BatchSlowdown is the share by which a decoding step takes longer with all slots busy.
	BatchSlowdown float64
	// FirstToken is the fixed part of the time to the first token. PrefillPerToken is added for
	// each prompt token that is not cached.
	FirstToken      time.Duration
	PrefillPerToken time.Duration
	// CacheTokens is the size of the prompt cache in tokens. The default is 200,000.
	CacheTokens int
	// LoadLag and EventLag are the delays after which load and cache events become visible.
	LoadLag  time.Duration
	EventLag time.Duration
	// EventDrop is the probability that a cache event is dropped. Seed seeds the draws.
	EventDrop float64
	Seed      uint64
	// CheckFence makes the engine refuse orders with an outdated fencing number.
	CheckFence bool
	// OrderTime is the time that the engine needs to carry out an order that changes its model or
	// version.
	OrderTime time.Duration
	// Incarnation is the number of the first incarnation. The default is 1.
	Incarnation uint64
}

func (o *Options) setDefaults() {
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.CacheTokens == 0 {
		o.CacheTokens = 200_000
	}
	if o.Incarnation == 0 {
		o.Incarnation = 1
	}
}

// Engine is a simulated model engine. It is safe for concurrent use.
type Engine struct {
	mu      sync.Mutex
	options Options
	faults  faults
	random  *rand.Rand

	// incarnationCtx is cancelled when the engine crashes.
	incarnationCtx    context.Context
	cancelIncarnation context.CancelFunc
	crashed           bool
	loading           bool
	incarnationNumber uint64

	running  int
	waiters  []*waiter
	arrivals uint64
	batch    map[*sequence]bool
	decoding bool

	cache         *cache
	events        []Event
	eventSeq      uint64
	eventsChanged chan struct{}

	load simutil.Lagged[Load]
	log  []*LogEntry
	runs int
	// highestFence is the highest fencing number of the received orders.
	highestFence uint64
	orders       []OrderRecord
	conns        map[net.Conn]*connection
}

// New returns an engine without requests and with an empty cache.
func New(options Options) *Engine {
	options.setDefaults()
	e := &Engine{
		options:           options,
		faults:            faults{restartDelay: defaultRestartDelay, slowFactor: 1},
		random:            rand.New(rand.NewPCG(options.Seed, options.Seed)),
		incarnationNumber: options.Incarnation,
		batch:             map[*sequence]bool{},
		eventsChanged:     make(chan struct{}),
		conns:             map[net.Conn]*connection{},
	}
	e.cache = newCache(options.CacheTokens, e.recordEvent)
	e.incarnationCtx, e.cancelIncarnation = context.WithCancel(context.Background())
	e.recordLoad()
	return e
}

// Start serves the engine on addr, a loopback address whose port may be 0.
func (e *Engine) Start(addr string) (*simutil.Server, error) {
	return simutil.Start(addr, e.Server())
}

// Server returns an HTTP server that registers its connections with the engine, so that the
// freeze fault also affects connections that are idle.
func (e *Engine) Server() *http.Server {
	return &http.Server{Handler: e.Handler(), ConnContext: e.connContext, ConnState: e.connState}
}

// Load is the engine's load report.
type Load struct {
	InFlight    int      `json:"in_flight"`
	Queued      int      `json:"queued"`
	Slots       int      `json:"slots"`
	Incarnation uint64   `json:"incarnation"`
	Model       string   `json:"model"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role"`
	Draining    bool     `json:"draining"`
}

// recordLoad records the current load. It is called after each change, with the lock held.
func (e *Engine) recordLoad() {
	e.load.Set(time.Now(), Load{
		InFlight: e.running, Queued: len(e.waiters), Slots: e.options.Slots,
		Incarnation: e.incarnationNumber, Model: e.options.Model, Version: e.options.Version,
		Adapters: append([]string{}, e.options.Adapters...), Role: e.options.Role,
		Draining: e.faults.draining,
	}, e.options.LoadLag)
}

// Load returns the load as it was LoadLag ago.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load.At(time.Now().Add(-e.options.LoadLag))
}

// Crash breaks the connections of all requests. After the restart delay the engine starts a new
// incarnation with an empty cache.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return
	}
	e.crashed = true
	e.cancelIncarnation()
	time.AfterFunc(e.faults.restartDelay, e.restart)
}

func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = false
	e.incarnationNumber++
	e.incarnationCtx, e.cancelIncarnation = context.WithCancel(context.Background())
	e.cache = newCache(e.options.CacheTokens, e.recordEvent)
	e.events, e.eventSeq = nil, 0
	e.recordLoad()
}
