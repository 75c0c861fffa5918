// Package load is a load generator for fleets and engines. It sends conversations of several turns
// and orders to one or more targets, closed-loop or open-loop, and records latencies. An order is a
// call to a plain service with an idempotency key. The targets are compared within one run, in
// alternating phases, so that the state of the machine affects all of them equally.
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

// Target is a destination of requests. All turns of a conversation go to one of its URLs.
type Target struct {
	Name string
	URLs []string
	Key  string
	// OrderPath is the path of orders. Empty means that no orders are sent.
	OrderPath string
}

// Options are the settings of a load run.
type Options struct {
	Model     string
	MaxTokens int
	// Turns is the number of turns of a conversation, after which a new one starts.
	Turns int
	// Conversations is the number of conversations that are open at the same time.
	Conversations int
	// OrderShare is the share of requests that are orders.
	OrderShare float64
	// Workers is the number of closed-loop senders. It is used if Rate is 0.
	Workers int
	// Rate is the open-loop rate in requests per second, with Poisson arrivals.
	Rate   float64
	Stream bool
	Seed   uint64
	// Warmup is the first part of each phase, which is not recorded. Phase is the recorded part.
	Warmup, Phase time.Duration
	// Rounds is the number of phases of each target.
	Rounds int
}

// sender sends requests to one target.
type sender struct {
	options           Options
	target            Target
	client            *http.Client
	result            *Result
	idleConversations chan *conversation
	requests          int
	mu                sync.Mutex
	random            *rand.Rand
}

// conversation is a chat whose turns are sent one after the other. request holds the messages so far.
// starts counts how often the conversation was started, and is part of its ID.
type conversation struct {
	number  int
	starts  int
	turn    int
	baseURL string
	request enginesim.Request
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
			senders[i].runPhase(ctx, round)
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
	s.idleConversations = make(chan *conversation, options.Conversations)
	for i := range options.Conversations {
		s.idleConversations <- &conversation{number: i, baseURL: target.URLs[i%len(target.URLs)]}
	}
	return s
}

// runPhase sends requests for the warm-up and the recorded time.
func (s *sender) runPhase(ctx context.Context, round int) {
	start := time.Now()
	recordFrom := start.Add(s.options.Warmup)
	ctx, cancel := context.WithDeadline(ctx, recordFrom.Add(s.options.Phase))
	defer cancel()
	if s.options.Rate > 0 {
		s.runOpenLoop(ctx, recordFrom, uint64(round))
	} else {
		s.runClosedLoop(ctx, recordFrom)
	}
	s.result.RecordedTime += s.options.Phase
}

// runClosedLoop keeps a fixed number of requests in flight.
func (s *sender) runClosedLoop(ctx context.Context, recordFrom time.Time) {
	var group conc.WaitGroup
	for range s.options.Workers {
		group.Go(func() {
			for ctx.Err() == nil {
				s.sendOne(time.Now(), recordFrom)
			}
		})
	}
	group.Wait()
}

// runOpenLoop sends requests at Poisson arrivals. Latencies count from the arrival even if the
// request is sent late, so that they include stalls of the target.
func (s *sender) runOpenLoop(ctx context.Context, recordFrom time.Time, round uint64) {
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
		group.Go(func() { s.sendOne(at, recordFrom) })
	}
	group.Wait()
}

// sendOne sends one request and records it if its arrival is at or after recordFrom. A request is
// not cancelled at the end of the phase, so that the load generator truncates no answer.
func (s *sender) sendOne(arrival, recordFrom time.Time) {
	order, number := s.nextRequest()
	record := !arrival.Before(recordFrom)
	if order {
		s.sendOrder(number, arrival, record)
		return
	}
	select {
	case c := <-s.idleConversations:
		s.sendChat(c, arrival, record)
		s.idleConversations <- c
	default:
		// All conversations have a request in flight, which happens in an open loop only.
		s.sendChat(s.extraConversation(number), arrival, record)
	}
}

// nextRequest draws whether the next request is an order and returns the request's number.
func (s *sender) nextRequest() (order bool, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	return s.target.OrderPath != "" && s.random.Float64() < s.options.OrderShare, s.requests
}

// extraConversation returns a conversation of one turn.
func (s *sender) extraConversation(number int) *conversation {
	return &conversation{number: s.options.Conversations + number, baseURL: s.target.URLs[number%len(s.target.URLs)]}
}

// sendChat sends the next turn of a conversation. After the last turn or an error the conversation
// starts again with a new ID.
func (s *sender) sendChat(c *conversation, arrival time.Time, record bool) {
	if c.turn == 0 {
		c.starts++
		c.request = enginesim.Request{Model: s.options.Model, MaxTokens: s.options.MaxTokens, Stream: s.options.Stream}
	}
	id := fmt.Sprintf("%d-%d-%d", s.options.Seed, c.number, c.starts)
	question := fmt.Sprintf("question %d of conversation %s", c.turn, id)
	c.request.Messages = append(c.request.Messages, enginesim.Message{Role: "user", Content: enginesim.Content(question)})
	sendDelay := time.Since(arrival)
	client := &callersim.Client{HTTP: s.client, Base: c.baseURL, Key: s.target.Key}
	result := client.Chat(context.Background(), id, c.request)
	if record {
		s.result.addChat(result, sendDelay)
	}
	c.turn++
	if c.turn >= s.options.Turns || result.Kind != callersim.Complete {
		c.turn = 0
		return
	}
	c.request.Messages = append(c.request.Messages, enginesim.Message{Role: "assistant", Content: enginesim.Content(result.Text)})
}

func (s *sender) sendOrder(number int, arrival time.Time, record bool) {
	sendDelay := time.Since(arrival)
	client := &callersim.Client{HTTP: s.client, Base: s.target.URLs[number%len(s.target.URLs)], Key: s.target.Key}
	key := fmt.Sprintf("order-%d-%s-%d", s.options.Seed, s.target.Name, number)
	result := client.Call(context.Background(), http.MethodPost, s.target.OrderPath, key, []byte(`{"amount":1}`))
	if record {
		s.result.addOrder(result, sendDelay)
	}
}
