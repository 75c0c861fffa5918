// Package load sends chats that return and orders to one or more targets, closed-loop or
// open-loop, and records latencies. It compares targets within one run, in alternating
// phases, so that the machine's state weighs on all of them alike.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
)

// Target is where requests go. A conversation stays on one URL.
type Target struct {
	Name string
	URLs []string
	Key  string
	// OrderPath is the path of orders. Empty means that no orders are sent.
	OrderPath string
}

// Options are the settings of a load.
type Options struct {
	Model     string
	MaxTokens int
	// Turns is the length of a conversation, after which a new one starts.
	Turns int
	// Conversations is the number of conversations that take turns.
	Conversations int
	// OrderShare is the share of requests that are orders.
	OrderShare float64
	// Workers is the number of closed-loop senders. It is used when Rate is 0.
	Workers int
	// Rate is the open-loop rate per second, with Poisson arrivals.
	Rate   float64
	Stream bool
	Seed   uint64
	// Warmup is sent first in each phase and not recorded. Phase is the recorded part.
	Warmup, Phase time.Duration
	Rounds        int
}

// sender sends requests to one target.
type sender struct {
	options Options
	target  Target
	client  *http.Client
	result  *Result
	idle    chan *conversation
	orders  int
	mu      sync.Mutex
	random  *rand.Rand
}

// conversation is one chat that returns.
type conversation struct {
	number int
	starts int
	turn   int
	base   string
	body   enginesim.Request
}

// Compare runs all targets in alternating phases and returns a result for each. The order
// is reversed in every other round.
func Compare(ctx context.Context, options Options, targets []Target) []*Result {
	senders := make([]*sender, len(targets))
	results := make([]*Result, len(targets))
	for i, target := range targets {
		senders[i] = newSender(options, target)
		results[i] = senders[i].result
	}
	for round := range options.Rounds {
		for i := range senders {
			if round%2 == 1 {
				i = len(senders) - 1 - i
			}
			senders[i].phase(ctx, round)
		}
	}
	return results
}

func newSender(options Options, target Target) *sender {
	s := &sender{options: options, target: target, result: newResult(target.Name)}
	s.random = rand.New(rand.NewPCG(options.Seed, 0))
	s.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: options.Conversations + options.Workers,
		DisableCompression:  true,
	}}
	s.idle = make(chan *conversation, options.Conversations)
	for i := range options.Conversations {
		s.idle <- &conversation{number: i, base: target.URLs[i%len(target.URLs)]}
	}
	return s
}

// phase sends for the warm-up and the recorded time.
func (s *sender) phase(ctx context.Context, round int) {
	start := time.Now()
	from := start.Add(s.options.Warmup)
	ctx, cancel := context.WithDeadline(ctx, from.Add(s.options.Phase))
	defer cancel()
	if s.options.Rate > 0 {
		s.open(ctx, from, uint64(round))
	} else {
		s.closed(ctx, from)
	}
	s.result.Recorded += s.options.Phase
}

// closed keeps a fixed number of requests in flight.
func (s *sender) closed(ctx context.Context, from time.Time) {
	var group conc.WaitGroup
	for range s.options.Workers {
		group.Go(func() {
			for ctx.Err() == nil {
				s.one(time.Now(), from)
			}
		})
	}
	group.Wait()
}

// open sends at Poisson arrivals. Latencies count from the arrival, also when the sender
// is late, so that a stall of the target is not left out.
func (s *sender) open(ctx context.Context, from time.Time, round uint64) {
	random := rand.New(rand.NewPCG(s.options.Seed, round+1))
	var group conc.WaitGroup
	arrival := time.Now()
	for {
		arrival = arrival.Add(time.Duration(random.ExpFloat64() / s.options.Rate * float64(time.Second)))
		if deadline, _ := ctx.Deadline(); arrival.After(deadline) {
			break
		}
		at := arrival
		time.Sleep(time.Until(at))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { s.one(at, from) })
	}
	group.Wait()
}

// one sends one request and records it if it arrived after from. Requests run to their
// end, also beyond the phase, so that none is cut by the tool.
func (s *sender) one(arrival, from time.Time) {
	order, number := s.draw()
	record := !arrival.Before(from)
	if order {
		s.order(number, arrival, record)
		return
	}
	select {
	case c := <-s.idle:
		s.chat(c, arrival, record)
		s.idle <- c
	default:
		// All conversations are busy, which only an open loop meets.
		s.chat(s.extra(number), arrival, record)
	}
}

// draw decides whether the next request is an order, and numbers it.
func (s *sender) draw() (order bool, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders++
	return s.target.OrderPath != "" && s.random.Float64() < s.options.OrderShare, s.orders
}

// extra returns a conversation of one turn.
func (s *sender) extra(number int) *conversation {
	return &conversation{number: s.options.Conversations + number, base: s.target.URLs[number%len(s.target.URLs)]}
}

// chat takes the next turn of a conversation.
func (s *sender) chat(c *conversation, arrival time.Time, record bool) {
	if c.turn == 0 {
		c.starts++
		c.body = enginesim.Request{Model: s.options.Model, MaxTokens: s.options.MaxTokens, Stream: s.options.Stream}
	}
	id := fmt.Sprintf("%d-%d-%d", s.options.Seed, c.number, c.starts)
	question := fmt.Sprintf("question %d of conversation %s", c.turn, id)
	c.body.Messages = append(c.body.Messages, enginesim.Message{Role: "user", Content: enginesim.Content(question)})
	late := time.Since(arrival)
	client := &callersim.Client{HTTP: s.client, Base: c.base, Key: s.target.Key}
	result := client.Chat(context.Background(), id, c.body)
	if record {
		s.result.chat(result, late)
	}
	c.turn++
	if c.turn >= s.options.Turns || result.Kind != callersim.OK {
		c.turn = 0
		return
	}
	c.body.Messages = append(c.body.Messages, enginesim.Message{Role: "assistant", Content: enginesim.Content(result.Text)})
}

func (s *sender) order(number int, arrival time.Time, record bool) {
	late := time.Since(arrival)
	client := &callersim.Client{HTTP: s.client, Base: s.target.URLs[number%len(s.target.URLs)], Key: s.target.Key}
	key := fmt.Sprintf("order-%d-%s-%d", s.options.Seed, s.target.Name, number)
	result := client.Call(context.Background(), http.MethodPost, s.target.OrderPath, key, []byte(`{"amount":1}`))
	if record {
		s.result.order(result, late)
	}
}
