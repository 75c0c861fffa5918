package experiment

import (
	"time"

	"github.com/bilberrywell/bilberrywell/internal/router"
	"github.com/bilberrywell/bilberrywell/routing"
)

// pattern is a load on a fleet, and what happens to its engines.
type pattern struct {
	name, summary string
	duration      time.Duration
	streams       []stream
	// change, if set, is applied to every engine each changeInterval; i is its index and t the time in the pattern.
	change func(e *engine, i int, t time.Duration)
}

// The fleet of every pattern. Without reading, 8 slots of 12 engines carry 400 requests a second of kind chat. The queue
// and the cache are assumptions; the cache holds a fourth of the shared prompts of chat.
const (
	instanceCount = 6
	engineCount   = 12
)

var engineLimits = engineConfig{slots: 8, maxWaiting: 16, cacheTokens: 60_000}

const (
	patternDuration    = 24 * time.Second
	surgeFrom, surgeTo = 8 * time.Second, 16 * time.Second
	changeInterval     = 200 * time.Millisecond
)

func inSurge(t time.Duration) bool { return surgeFrom <= t && t < surgeTo }

// Kinds of requests. The targets and deadlines of urgent and overnight are those of part D of docs/overload.md, the
// long prompt is that of part C.
var (
	chat      = kind{"chat", routing.Streaming, 600 * time.Millisecond, 10 * time.Second, 3, 120, 2000, 200, 30, 2}
	urgent    = kind{"urgent", routing.Streaming, 250 * time.Millisecond, 3 * time.Second, 0, 60, 800, 100, 20, 2}
	overnight = kind{"overnight", routing.Streaming, 1200 * time.Millisecond, 10 * time.Second, 7, 60, 2000, 400, 60, 3}
	short     = kind{"short", routing.Streaming, 250 * time.Millisecond, 3 * time.Second, 3, 60, 700, 100, 20, 2}
	long      = kind{"long", routing.Streaming, 1200 * time.Millisecond, 10 * time.Second, 3, 4000, 12_000, 200, 40, 2}
	lookup    = kind{"lookup", routing.Idempotent, 100 * time.Millisecond, 2 * time.Second, 3, 0, 0, 0, 1, 2}
)

// patterns are the load patterns by name.
var patterns = []pattern{
	{"steady", "about half of the slots in use, without surge or fault", patternDuration,
		[]stream{usual(&chat, 200, 1), usual(&lookup, 100, 1)}, nil},
	{"long-beside-short", "uncached prompts of 12,000 tokens, five times as many from 8 to 16 s, beside steady short ones", patternDuration,
		[]stream{usual(&short, 200, 1), usual(&long, 6, 5)}, nil},
	{"two-kinds-surge", "two kinds at three times their rate from 8 to 16 s, one customer at eight times, whose callers retry " +
		"at once, and a fourth of the engines reject 3 in 10", patternDuration,
		[]stream{usual(&urgent, 110, 3), usual(&overnight, 30, 3), {&urgent, "hot", 1, 20, 8, true}},
		func(e *engine, i int, t time.Duration) { e.rejectShare = shareIf(i%4 == 0 && inSurge(t), 0.3) }},
	{"all-engines-fail", "all engines fail two in five requests from 8 to 12 s", patternDuration,
		[]stream{usual(&urgent, 120, 1), usual(&chat, 80, 1)},
		func(e *engine, _ int, t time.Duration) {
			e.failShare = shareIf(inSurge(t) && t < surgeFrom+4*time.Second, 0.4)
		}},
	{"hot-customer", "one customer at ten times its rate from 8 to 16 s, as urgent as the others", patternDuration,
		[]stream{usual(&chat, 200, 1), {&chat, "hot", 1, 30, 10, false}}, nil},
	{"uneven-engines", "every other engine changes its speed every 200 ms, between 0.2 and 1", patternDuration,
		[]stream{usual(&chat, 200, 1), usual(&lookup, 100, 1)},
		func(e *engine, i int, _ time.Duration) {
			if i%2 == 1 {
				e.speed = 0.2 + 0.8*e.rng.Float64()
			}
		}},
}

// usual is a stream of 40 customers.
func usual(k *kind, rate, surge float64) stream { return stream{k, "usual", 40, rate, surge, false} }

func shareIf(condition bool, share float64) float64 {
	if condition {
		return share
	}
	return 0
}

// setting is a configuration of the decisions to compare. change is applied to the configuration of every instance.
type setting struct {
	name   string
	change func(*router.Config)
}

// settings are the compared settings. A decision that router.Config can switch gets an entry here.
var settings = []setting{
	{"default", func(*router.Config) {}},
	{"load-control", func(c *router.Config) { c.LoadControl = true }},
	{"no-further-attempts", func(c *router.Config) { c.RetryRatio, c.RetryReserve = 1e-9, 0 }},
	{"unbounded-attempts", func(c *router.Config) { c.RetryReserve = 1e9 }},
	{"tight-load-bound", func(c *router.Config) { c.LoadFactor = 1.1 }},
	{"no-load-bound", func(c *router.Config) { c.LoadFactor = 1e6 }},
}

// baseConfig holds the retry budget of docs/overload.md, part E.
func baseConfig() router.Config {
	return router.Config{RetryRatio: 0.2, RetryReserve: 10, RetryWindow: 10 * time.Second}
}
