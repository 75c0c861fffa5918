// Package enginesim is a stand-in for a model engine that serves chat completions.
//
// An answer is a function of the request's messages (Answer), so that a client can check
// that it got the whole answer to its own request. The engine has a limited number of
// slots, decodes all running requests in one batch, caches prompt prefixes in limited
// memory, and takes orders. Every timing and fault is settable.
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
	// Slots is the most requests that run at once, and Queue the most that wait inside the
	// engine. The default is 8 slots and no queue.
	Slots int
	Queue int
	// TokensPerSecond is the rate of one stream in a batch of one. Zero has no limit.
	TokensPerSecond float64
	// BatchSlowdown is how much longer a step takes with all slots busy, as a share.
	BatchSlowdown float64
	// FirstToken is the fixed time to the first token. PrefillPerToken is added for each
	// prompt token that is not cached.
	FirstToken      time.Duration
	PrefillPerToken time.Duration
	// CacheTokens bounds the prompt cache. The default is 200,000.
	CacheTokens int
	LoadLag     time.Duration
	EventLag    time.Duration
	// EventDrop is the probability that a cache event is dropped, drawn with Seed.
	EventDrop float64
	Seed      uint64
	// CheckFence makes the engine refuse orders with an old fencing number.
	CheckFence bool
	// OrderTime is how long an order that changes model or version takes.
	OrderTime time.Duration
	// Incarnation is the first incarnation. The default is 1.
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

// Engine is a model engine. It is safe for concurrent use.
type Engine struct {
	mu      sync.Mutex
	options Options
	faults  faults
	random  *rand.Rand

	// life ends when the engine crashes.
	life    context.Context
	end     context.CancelFunc
	crashed bool
	loading bool
	number  uint64

	running  int
	waiters  []*waiter
	arrivals uint64
	batch    map[*sequence]bool
	stepping bool

	cache         *cache
	events        []Event
	eventSeq      uint64
	eventsChanged chan struct{}

	load   simutil.Lagged[Load]
	log    []*LogEntry
	runs   int
	fence  uint64
	orders []OrderRecord
	conns  map[net.Conn]*connection
}

// New returns an idle engine with an empty cache.
func New(options Options) *Engine {
	options.setDefaults()
	e := &Engine{
		options:       options,
		faults:        faults{restart: defaultRestart, slow: 1},
		random:        rand.New(rand.NewPCG(options.Seed, options.Seed)),
		number:        options.Incarnation,
		batch:         map[*sequence]bool{},
		eventsChanged: make(chan struct{}),
		conns:         map[net.Conn]*connection{},
	}
	e.cache = newCache(options.CacheTokens, e.record)
	e.life, e.end = context.WithCancel(context.Background())
	e.noteLoad()
	return e
}

// Start serves the engine on addr, a loopback address whose port may be 0.
func (e *Engine) Start(addr string) (*simutil.Server, error) {
	return simutil.Start(addr, e.Server())
}

// Server returns an HTTP server that knows its connections. The freeze fault needs it to
// silence connections that are idle.
func (e *Engine) Server() *http.Server {
	return &http.Server{Handler: e.Handler(), ConnContext: e.connContext, ConnState: e.connState}
}

// Load is what the engine reports about itself.
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

// noteLoad records the load after a change. The caller holds the lock.
func (e *Engine) noteLoad() {
	e.load.Set(time.Now(), Load{
		InFlight: e.running, Queued: len(e.waiters), Slots: e.options.Slots,
		Incarnation: e.number, Model: e.options.Model, Version: e.options.Version,
		Adapters: append([]string{}, e.options.Adapters...), Role: e.options.Role,
		Draining: e.faults.draining,
	}, e.options.LoadLag)
}

// Load returns the load of the load lag ago.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load.At(time.Now().Add(-e.options.LoadLag))
}

// Crash breaks all streams and empties the cache. A new incarnation starts after the
// restart time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return
	}
	e.crashed = true
	e.end()
	time.AfterFunc(e.faults.restart, e.restart)
}

func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = false
	e.number++
	e.life, e.end = context.WithCancel(context.Background())
	e.cache = newCache(e.options.CacheTokens, e.record)
	e.events, e.eventSeq = nil, 0
	e.noteLoad()
}
