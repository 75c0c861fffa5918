// Package bench measures the routing decisions of the fleet in virtual time and compares them
// with baseline policies that route the same traces over the same fake engines. The same seed
// gives the same figures. The result is a report in Markdown.
package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	prefill          = 600 * time.Millisecond
	cachedPrefill    = 100 * time.Millisecond
	perToken         = 20 * time.Millisecond
	slotsPerCapacity = 16
	// cacheChats is the number of chats that an engine caches per unit of capacity, about twice
	// the number that are active on it.
	cacheChats = 400

	meanTurns = 6.0
	// historyDuration is the time before the start of a trace in which its chats may have begun.
	historyDuration = 400 * time.Second
	// A pause is the time from an answer to the next request of the chat. meanShortPause is the
	// mean of the short pauses. One pause in five is long: at least minLongPause, with a Pareto
	// tail up to maxLongPause. One second stands for about ten in reality.
	meanShortPause = 20 * time.Second
	minLongPause   = 40 * time.Second
	maxLongPause   = 600 * time.Second
	longPauseShare = 0.2
	paretoShape    = 1.2
	// medianTokens and tokenLogSigma are the parameters of the log-normal distribution of the
	// answer length, in tokens.
	medianTokens  = 100
	tokenLogSigma = 0.8
	maxTokens     = 1500
)

// arrival is one request of a trace.
type arrival struct {
	at       time.Duration
	customer fleet.CustomerID
	chat     string
	tokens   int
	// returning tells that the trace has an earlier request of the chat.
	returning bool
	// entryIndex modulo the number of instances is the instance that receives the request.
	entryIndex int
}

// surge is a period in which one customer sends factor times its usual rate of requests.
type surge struct {
	customer int
	from, to time.Duration
	factor   float64
}

// traceConfig holds the parameters of a trace. rate is in requests per second over all customers.
type traceConfig struct {
	seed      uint64
	customers int
	rate      float64
	end       time.Duration
	surge     *surge
}

// newTrace returns the arrivals in order of time. Each customer has its own random generators,
// so that a surge of one customer does not change the requests of the others. The rate of
// customer i is proportional to 1/(i+1).
func newTrace(c traceConfig) []arrival {
	var arrivals []arrival
	totalWeight := 0.0
	for i := range c.customers {
		totalWeight += 1 / float64(i+1)
	}
	for i := range c.customers {
		rate := c.rate / meanTurns / float64(i+1) / totalWeight
		rng := rand.New(rand.NewPCG(c.seed, uint64(i)))
		arrivals = append(arrivals, c.chatArrivals(rng, i, "", -historyDuration, c.end, rate)...)
		if c.surge != nil && c.surge.customer == i && c.surge.factor > 1 {
			extra := rand.New(rand.NewPCG(c.seed, uint64(1000+i)))
			arrivals = append(arrivals, c.surgeArrivals(extra, rate*meanTurns*(c.surge.factor-1))...)
		}
	}
	sort.SliceStable(arrivals, func(a, b int) bool { return arrivals[a].at < arrivals[b].at })
	return arrivals
}

// chatArrivals returns the requests of all chats that a customer begins between two times.
func (c traceConfig) chatArrivals(rng *rand.Rand, customer int, prefix string, from, to time.Duration, rate float64) []arrival {
	var list []arrival
	at := from
	for n := 0; ; n++ {
		at += seconds(rng.ExpFloat64() / rate)
		if at >= to {
			return list
		}
		list = c.appendTurns(rng, list, customer, fmt.Sprintf("%s%d", prefix, n), at)
	}
}

// appendTurns appends the requests of one chat that begins at a time.
func (c traceConfig) appendTurns(rng *rand.Rand, list []arrival, customer int, chat string, at time.Duration) []arrival {
	hasEarlier := false
	for at < c.end {
		tokens := min(maxTokens, 1+int(medianTokens*math.Exp(tokenLogSigma*rng.NormFloat64())))
		if at >= 0 {
			list = append(list, arrival{at, customerID(customer), chat, tokens, hasEarlier, rng.IntN(1 << 20)})
			hasEarlier = true
		}
		if rng.Float64() < 1/meanTurns {
			return list
		}
		at += prefill + time.Duration(tokens)*perToken + samplePause(rng)
	}
	return list
}

// surgeArrivals returns the additional requests of a surge. Each belongs to a new chat.
func (c traceConfig) surgeArrivals(rng *rand.Rand, rate float64) []arrival {
	var list []arrival
	at := c.surge.from
	for n := 0; ; n++ {
		at += seconds(rng.ExpFloat64() / rate)
		if at >= c.surge.to {
			return list
		}
		tokens := min(maxTokens, 1+int(medianTokens*math.Exp(tokenLogSigma*rng.NormFloat64())))
		list = append(list, arrival{at, customerID(c.surge.customer), fmt.Sprintf("surge-%d", n), tokens, false, rng.IntN(1 << 20)})
	}
}

func samplePause(rng *rand.Rand) time.Duration {
	if rng.Float64() >= longPauseShare {
		return time.Duration(rng.ExpFloat64() * float64(meanShortPause))
	}
	long := float64(minLongPause) * math.Pow(1-rng.Float64(), -1/paretoShape)
	return time.Duration(min(long, float64(maxLongPause)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func customerID(i int) fleet.CustomerID { return fleet.CustomerID(fmt.Sprintf("c%d", i)) }

// serviceTime returns the expected time that the request takes on an engine, with a cached
// prefix if it belongs to a returning chat.
func (a arrival) serviceTime() time.Duration {
	start := prefill
	if a.returning {
		start = cachedPrefill
	}
	return start + time.Duration(a.tokens)*perToken
}

// meanServiceTime returns the expected time that a request takes on an engine when a third of
// the prompts have no cached prefix.
func meanServiceTime() time.Duration {
	tokens := medianTokens * math.Exp(tokenLogSigma*tokenLogSigma/2)
	return cachedPrefill + (prefill-cachedPrefill)/3 + time.Duration(tokens*float64(perToken))
}
