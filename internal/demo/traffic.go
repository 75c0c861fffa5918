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
	// meanThinkTime is the mean time between the turns of a conversation.
	meanThinkTime = 900 * time.Millisecond
	// meanOrderPause is the mean time between two orders of a sender.
	meanOrderPause = 150 * time.Millisecond
	// duplicateEvery means that one in duplicateEvery orders is sent to two instances at the same time.
	duplicateEvery = 5
	// initialBackoffLimit is the upper bound of the random wait before the first resend. The bound
	// doubles with each resend up to maxBackoffLimit.
	initialBackoffLimit = 50 * time.Millisecond
	maxBackoffLimit     = time.Second
)

// Plan is the amount of traffic: a number of conversations with Turns chats each, and a number of
// senders with Orders orders each.
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

// traffic sends the chats and orders of a plan and tallies their results.
type traffic struct {
	plan      Plan
	example   *Example
	bases     []string
	http      *http.Client
	tally     tally
	nextIndex atomic.Uint64
	doneCalls atomic.Int64
	// killedInstance is the index of the killed instance, or -1 before the kill.
	killedInstance atomic.Int64
	mu             sync.Mutex
	orderKinds     map[string]callersim.Kind
}

func newTraffic(plan Plan, example *Example, bases []string) *traffic {
	t := &traffic{plan: plan, example: example, bases: bases, orderKinds: map[string]callersim.Kind{}}
	t.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: plan.Conversations + plan.Senders}}
	t.killedInstance.Store(-1)
	return t
}

// run sends all chats and orders. It ends early if ctx ends.
func (t *traffic) run(ctx context.Context) {
	var group conc.WaitGroup
	for i := range t.plan.Conversations {
		group.Go(func() { t.runConversation(ctx, i) })
	}
	for i := range t.plan.Senders {
		group.Go(func() { t.sendOrders(ctx, i) })
	}
	group.Wait()
}

// runConversation runs one conversation. Each turn adds a question to all earlier messages.
func (t *traffic) runConversation(ctx context.Context, i int) {
	random := rand.New(rand.NewPCG(t.plan.Seed, uint64(i)))
	service := t.example.firstService(kindChat)
	customer := t.drawCustomer(random, service.ID)
	id := fmt.Sprintf("conversation-%d", i)
	request := enginesim.Request{Model: service.Model, Stream: i%8 != 0}
	request.Messages = []enginesim.Message{{Role: "system", Content: systemPrompt}}
	knownTokens := 0
	for turn := range t.plan.Turns {
		waitThinkTime(ctx, random)
		question := fmt.Sprintf("question %d of conversation %d, %d", turn, i, random.Uint64())
		request.Messages = append(request.Messages, enginesim.Message{Role: "user", Content: enginesim.Content(question)})
		result := t.chat(ctx, random, customer.Key, id, request)
		t.tally.addChat(result, knownTokens)
		t.doneCalls.Add(1)
		if result.Kind != callersim.Complete {
			t.doneCalls.Add(int64(t.plan.Turns - turn - 1))
			t.tally.addSkipped(t.plan.Turns - turn - 1)
			return
		}
		knownTokens = result.Usage.PromptTokens
		answer := enginesim.Message{Role: "assistant", Content: enginesim.Content(result.Text)}
		request.Messages = append(request.Messages, answer)
	}
}

// systemPrompt is the same for all conversations, as in a real service.
const systemPrompt = "You plan deliveries for small shops. Answer briefly and name the sources of each figure."

func waitThinkTime(ctx context.Context, random *rand.Rand) {
	sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanThinkTime)))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// drawCustomer draws a customer of a service with a probability in proportion to the customer's rate.
func (t *traffic) drawCustomer(random *rand.Rand, service string) *Customer {
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

// chat sends a request, and again after each failure, until it is answered or ctx ends. A caller behind
// a balancer does the same.
func (t *traffic) chat(ctx context.Context, random *rand.Rand, key, id string, request enginesim.Request) callersim.ChatResult {
	for attempt := 0; ; attempt++ {
		instance := t.nextInstance()
		client := &callersim.Client{HTTP: t.http, Base: t.bases[instance], Key: key}
		result := client.Chat(ctx, id, request)
		if result.Kind == callersim.Complete || result.Kind == callersim.WrongAnswer || ctx.Err() != nil {
			return result
		}
		t.tally.addResend(result.Kind, t.killedInstance.Load() == int64(instance), result.Detail)
		sleep(ctx, backoff(random, attempt, result.RetryAfter))
	}
}

// nextInstance returns the instances in turn. A balancer would skip the killed instance after its
// health check. Here it is not skipped, so that calls to it fail.
func (t *traffic) nextInstance() int {
	return int(t.nextIndex.Add(1) % uint64(len(t.bases)))
}

func backoff(random *rand.Rand, attempt int, retryAfter time.Duration) time.Duration {
	limit := min(initialBackoffLimit<<min(attempt, 10), maxBackoffLimit)
	return max(retryAfter, time.Duration(random.Int64N(int64(limit))))
}

// sendOrders sends the orders of one sender.
func (t *traffic) sendOrders(ctx context.Context, i int) {
	service := t.example.plainService()
	if service == nil {
		return
	}
	random := rand.New(rand.NewPCG(t.plan.Seed+1, uint64(i)))
	customer := t.drawCustomer(random, service.ID)
	for n := range t.plan.Orders {
		sleep(ctx, time.Duration(random.Int64N(int64(2*meanOrderPause))))
		t.order(ctx, random, customer.Key, service, fmt.Sprintf("order-%d-%d", i, n), n%duplicateEvery == 0)
		t.doneCalls.Add(1)
	}
}

// order sends an order, and again after each failure, until its result is known. With duplicate it
// sends the order to two instances at the same time, like a caller that doesn't wait for an answer.
func (t *traffic) order(ctx context.Context, random *rand.Rand, key string, service *Service, id string, duplicate bool) {
	call := service.NonIdempotent[0]
	path := "/v1/services/" + service.ID + call.Path
	body := []byte(fmt.Sprintf(`{"order":%q,"amount":%d}`, id, random.IntN(100)))
	send := func(random *rand.Rand) callersim.CallResult {
		return t.sendOrder(ctx, random, key, call.Method, path, id, body)
	}
	var group conc.WaitGroup
	var second callersim.CallResult
	if duplicate {
		other := rand.New(rand.NewPCG(t.plan.Seed+2, random.Uint64()))
		group.Go(func() { second = send(other) })
	}
	first := send(random)
	group.Wait()
	if duplicate {
		t.tally.compareDuplicates(first, second)
	}
	t.tally.addOrder(first)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orderKinds[id] = first.Kind
}

func (t *traffic) sendOrder(ctx context.Context, random *rand.Rand, key, method, path, id string, body []byte) callersim.CallResult {
	cutByKill := false
	for attempt := 0; ; attempt++ {
		instance := t.nextInstance()
		client := &callersim.Client{HTTP: t.http, Base: t.bases[instance], Key: key}
		result := client.Call(ctx, method, path, id, body)
		switch result.Kind {
		case callersim.Complete, callersim.WrongAnswer:
			return result
		case callersim.Unknown:
			// Only the kill may leave the result of an order unknown, so before it this is a failure.
			if !cutByKill && t.killedInstance.Load() < 0 {
				result.Kind = callersim.Failed
			}
			return result
		}
		if ctx.Err() != nil {
			return result
		}
		killed := t.killedInstance.Load() == int64(instance)
		cutByKill = cutByKill || killed
		t.tally.addResend(result.Kind, killed, result.Detail)
		sleep(ctx, backoff(random, attempt, result.RetryAfter))
	}
}

// plainService returns the first plain service with a call that must not run twice, or nil.
func (e *Example) plainService() *Service {
	for _, s := range e.Services {
		if s.Kind != kindChat && len(s.NonIdempotent) > 0 {
			return s
		}
	}
	return nil
}
