package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
)

const (
	// meanThink is the mean time between the turns of a conversation.
	meanThink = 900 * time.Millisecond
	// orderPause is the time between two orders of a sender.
	orderPause = 150 * time.Millisecond
	// resendEvery is how often an order is sent to a second instance at the same time.
	resendEvery = 5
	// minBackoff and maxBackoff bound the wait before a caller resends.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Plan is the amount of traffic.
type Plan struct {
	Seed          uint64
	Conversations int
	Turns         int
	Senders       int
	Orders        int
}

// total returns the number of chats and orders.
func (p Plan) total() int {
	return p.Conversations*p.Turns + p.Senders*p.Orders
}

// traffic sends the chats and orders of a plan and tallies how they end.
type traffic struct {
	plan    Plan
	example *Example
	bases   []string
	http    *http.Client
	tally   tally
	next    atomic.Uint64
	done    atomic.Int64
	// killed is the index of the killed instance, or -1.
	killed atomic.Int64
	mu     sync.Mutex
	orders map[string]callersim.Kind
}

func newTraffic(plan Plan, example *Example, bases []string) *traffic {
	t := &traffic{plan: plan, example: example, bases: bases, orders: map[string]callersim.Kind{}}
	t.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: plan.Conversations + plan.Senders}}
	t.killed.Store(-1)
	return t
}

// run sends everything. It ends early when ctx ends.
func (t *traffic) run(ctx context.Context) {
	var group conc.WaitGroup
	for i := range t.plan.Conversations {
		group.Go(func() { t.converse(ctx, i) })
	}
	for i := range t.plan.Senders {
		group.Go(func() { t.sendOrders(ctx, i) })
	}
	group.Wait()
}

// converse holds one conversation: each turn adds a question to all that was said before.
func (t *traffic) converse(ctx context.Context, i int) {
	random := rand.New(rand.NewPCG(t.plan.Seed, uint64(i)))
	service := t.example.first(kindChat)
	customer := t.customer(random, service.ID)
	id := fmt.Sprintf("conversation-%d", i)
	request := enginesim.Request{Model: service.Model, Stream: i%8 != 0}
	request.Messages = []enginesim.Message{{Role: "system", Content: systemPrompt}}
	known := 0
	for turn := range t.plan.Turns {
		think(ctx, random)
		question := fmt.Sprintf("question %d of conversation %d, %d", turn, i, random.Uint64())
		request.Messages = append(request.Messages, enginesim.Message{Role: "user", Content: enginesim.Content(question)})
		result := t.chat(ctx, random, customer.Key, id, request)
		t.tally.chat(result, known)
		t.done.Add(1)
		if result.Kind != callersim.OK {
			t.done.Add(int64(t.plan.Turns - turn - 1))
			t.tally.skip(t.plan.Turns - turn - 1)
			return
		}
		known = result.Usage.PromptTokens
		answer := enginesim.Message{Role: "assistant", Content: enginesim.Content(result.Text)}
		request.Messages = append(request.Messages, answer)
	}
}

// systemPrompt is the same for all conversations, as in a real service.
const systemPrompt = "You plan deliveries for small shops. Answer briefly and name the sources of each figure."

func think(ctx context.Context, random *rand.Rand) {
	sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanThink)))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// customer draws a customer of a service, in proportion to the customers' rates.
func (t *traffic) customer(random *rand.Rand, service string) *Customer {
	var allowed []*Customer
	sum := 0.0
	for _, c := range t.example.Customers {
		if c.allows(service) {
			allowed = append(allowed, c)
			sum += c.Rate
		}
	}
	at := random.Float64() * sum
	for _, c := range allowed {
		if at -= c.Rate; at < 0 {
			return c
		}
	}
	return allowed[len(allowed)-1]
}

func (c *Customer) allows(service string) bool {
	for _, s := range c.Services {
		if s == service {
			return true
		}
	}
	return len(c.Services) == 0
}

// chat sends a request until it is answered, as a caller behind a balancer does.
func (t *traffic) chat(ctx context.Context, random *rand.Rand, key, id string, request enginesim.Request) callersim.ChatResult {
	for try := 0; ; try++ {
		instance := t.pick()
		client := &callersim.Client{HTTP: t.http, Base: t.bases[instance], Key: key}
		result := client.Chat(ctx, id, request)
		if result.Kind == callersim.OK || result.Kind == callersim.Wrong || ctx.Err() != nil {
			return result
		}
		t.tally.resend(result.Kind, t.killed.Load() == int64(instance), result.Detail)
		sleep(ctx, backoff(random, try, result.RetryAfter))
	}
}

// pick returns the next instance in turn. A balancer skips a killed instance after its
// health check; here callers find out by themselves.
func (t *traffic) pick() int {
	return int(t.next.Add(1) % uint64(len(t.bases)))
}

func backoff(random *rand.Rand, try int, retryAfter time.Duration) time.Duration {
	limit := min(minBackoff<<min(try, 10), maxBackoff)
	return max(retryAfter, time.Duration(random.Int64N(int64(limit))))
}

// sendOrders sends the orders of one sender.
func (t *traffic) sendOrders(ctx context.Context, i int) {
	service := t.example.plain()
	if service == nil {
		return
	}
	random := rand.New(rand.NewPCG(t.plan.Seed+1, uint64(i)))
	customer := t.customer(random, service.ID)
	for n := range t.plan.Orders {
		sleep(ctx, time.Duration(random.Int64N(int64(2*orderPause))))
		t.order(ctx, random, customer.Key, service, fmt.Sprintf("order-%d-%d", i, n), n%resendEvery == 0)
		t.done.Add(1)
	}
}

// order sends an order until its end is known. A doubled order goes to two instances at
// the same time, as an impatient caller does.
func (t *traffic) order(ctx context.Context, random *rand.Rand, key string, service *Service, id string, doubled bool) {
	call := service.NonIdempotent[0]
	path := "/v1/services/" + service.ID + call.Path
	body := []byte(fmt.Sprintf(`{"order":%q,"amount":%d}`, id, random.IntN(100)))
	send := func(random *rand.Rand) callersim.CallResult {
		return t.sendOrder(ctx, random, key, call.Method, path, id, body)
	}
	var group conc.WaitGroup
	var second callersim.CallResult
	if doubled {
		other := rand.New(rand.NewPCG(t.plan.Seed+2, random.Uint64()))
		group.Go(func() { second = send(other) })
	}
	first := send(random)
	group.Wait()
	if doubled {
		t.tally.resent(first, second)
	}
	t.tally.order(first)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders[id] = first.Kind
}

func (t *traffic) sendOrder(ctx context.Context, random *rand.Rand, key, method, path, id string, body []byte) callersim.CallResult {
	broken := false
	for try := 0; ; try++ {
		instance := t.pick()
		client := &callersim.Client{HTTP: t.http, Base: t.bases[instance], Key: key}
		result := client.Call(ctx, method, path, id, body)
		switch result.Kind {
		case callersim.OK, callersim.Wrong:
			return result
		case callersim.Unknown:
			// Only an order that was cut off by the kill may have an unknown end.
			if !broken && t.killed.Load() < 0 {
				result.Kind = callersim.Failed
			}
			return result
		}
		if ctx.Err() != nil {
			return result
		}
		killed := t.killed.Load() == int64(instance)
		broken = broken || killed
		t.tally.resend(result.Kind, killed, result.Detail)
		sleep(ctx, backoff(random, try, result.RetryAfter))
	}
}

// plain returns the first plain service with a call that must not repeat.
func (e *Example) plain() *Service {
	for _, s := range e.Services {
		if s.Kind != kindChat && len(s.NonIdempotent) > 0 {
			return s
		}
	}
	return nil
}
