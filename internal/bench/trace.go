// Package bench measures the fleet's decisions in virtual time against baselines that route
// the same seeded traces over the same fake engines, and writes the figures as a page.
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
	prefill     = 600 * time.Millisecond
	warmPrefill = 100 * time.Millisecond
	perToken    = 20 * time.Millisecond
	slotsPer    = 16
	// cacheChats is about twice the chats that are active on an engine.
	cacheChats = 400

	meanTurns = 6.0
	// history is the time before the session in which chats of the session may have begun.
	history = 400 * time.Second
	// shortPause is the mean of the short pauses; one pause in five is long, from longPause with
	// a Pareto tail up to longestPause. One second stands for about ten.
	shortPause   = 20 * time.Second
	longPause    = 40 * time.Second
	longestPause = 600 * time.Second
	longShare    = 0.2
	paretoShape  = 1.2
	// tokenMedian and tokenSigma describe the log-normal answer length.
	tokenMedian = 100
	tokenSigma  = 0.8
	maxTokens   = 1500
)

// arrival is one request of a trace.
type arrival struct {
	at       time.Duration
	customer fleet.CustomerID
	chat     string
	tokens   int
	// returning tells that an earlier request of the chat is in the trace.
	returning bool
	// entry picks the instance.
	entry int
}

// surge is a time in which one customer sends a multiple of its requests.
type surge struct {
	customer int
	from, to time.Duration
	factor   float64
}

// traceConfig describes a trace. Rate is in requests a second over all customers.
type traceConfig struct {
	seed      uint64
	customers int
	rate      float64
	end       time.Duration
	surge     *surge
}

// newTrace returns the arrivals in order. Each customer has random streams of its own, so that
// a surge of one leaves the requests of the others as they are.
func newTrace(c traceConfig) []arrival {
	var list []arrival
	sizes := 0.0
	for i := range c.customers {
		sizes += 1 / float64(i+1)
	}
	for i := range c.customers {
		rate := c.rate / meanTurns / float64(i+1) / sizes
		rng := rand.New(rand.NewPCG(c.seed, uint64(i)))
		list = append(list, c.chats(rng, i, "", -history, c.end, rate)...)
		if c.surge != nil && c.surge.customer == i && c.surge.factor > 1 {
			extra := rand.New(rand.NewPCG(c.seed, uint64(1000+i)))
			list = append(list, c.surgeCalls(extra, rate*meanTurns*(c.surge.factor-1))...)
		}
	}
	sort.SliceStable(list, func(a, b int) bool { return list[a].at < list[b].at })
	return list
}

// chats returns the requests of the chats that one customer begins.
func (c traceConfig) chats(rng *rand.Rand, customer int, prefix string, from, to time.Duration, rate float64) []arrival {
	var list []arrival
	at := from
	for n := 0; ; n++ {
		at += seconds(rng.ExpFloat64() / rate)
		if at >= to {
			return list
		}
		list = c.turns(rng, list, customer, fmt.Sprintf("%s%d", prefix, n), at)
	}
}

// turns adds the requests of one chat.
func (c traceConfig) turns(rng *rand.Rand, list []arrival, customer int, chat string, at time.Duration) []arrival {
	seen := false
	for at < c.end {
		tokens := min(maxTokens, 1+int(tokenMedian*math.Exp(tokenSigma*rng.NormFloat64())))
		if at >= 0 {
			list = append(list, arrival{at, customerID(customer), chat, tokens, seen, rng.IntN(1 << 20)})
			seen = true
		}
		if rng.Float64() < 1/meanTurns {
			return list
		}
		at += prefill + time.Duration(tokens)*perToken + pause(rng)
	}
	return list
}

// surgeCalls returns the additional requests of a surge, each of a chat of its own.
func (c traceConfig) surgeCalls(rng *rand.Rand, rate float64) []arrival {
	var list []arrival
	at := c.surge.from
	for n := 0; ; n++ {
		at += seconds(rng.ExpFloat64() / rate)
		if at >= c.surge.to {
			return list
		}
		tokens := min(maxTokens, 1+int(tokenMedian*math.Exp(tokenSigma*rng.NormFloat64())))
		list = append(list, arrival{at, customerID(c.surge.customer), fmt.Sprintf("surge-%d", n), tokens, false, rng.IntN(1 << 20)})
	}
}

func pause(rng *rand.Rand) time.Duration {
	if rng.Float64() >= longShare {
		return time.Duration(rng.ExpFloat64() * float64(shortPause))
	}
	long := float64(longPause) * math.Pow(1-rng.Float64(), -1/paretoShape)
	return time.Duration(min(long, float64(longestPause)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func customerID(i int) fleet.CustomerID { return fleet.CustomerID(fmt.Sprintf("c%d", i)) }

// service is the expected time of a request on an engine.
func (a arrival) service() time.Duration {
	start := prefill
	if a.returning {
		start = warmPrefill
	}
	return start + time.Duration(a.tokens)*perToken
}

// meanService is the expected time of a request on an engine, with a third of the prompts cold.
func meanService() time.Duration {
	tokens := tokenMedian * math.Exp(tokenSigma*tokenSigma/2)
	return warmPrefill + (prefill-warmPrefill)/3 + time.Duration(tokens*float64(perToken))
}
