package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/routing"
)

// kind is a kind of request, served by a route of its own.
type kind struct {
	name string
	// route is the kind of the route. The target of a stream is the time to its first event, that of other kinds the
	// time to the whole response.
	route            routing.Kind
	target, deadline time.Duration
	urgency          int
	// prompts is the number of different shared parts of prompts, of sharedTokens each; 0 for requests without a prompt.
	prompts, sharedTokens, ownTokens, output int
	// retries is the number of times that a caller sends a refused request again.
	retries int
}

// stream is a Poisson stream of requests of one kind from a group of customers.
type stream struct {
	kind      *kind
	group     string
	customers int
	// rate is in requests per second over all customers of the group, surge its multiple during the surge.
	rate, surge float64
	// hasty callers do not wait as Retry-After says.
	hasty bool
}

// request is one request of a trace with its result.
type request struct {
	stream   *stream
	index    uint64
	customer fleet.CustomerID
	parts    []part
	arrival  time.Duration

	tries  int
	result result
	// wait is the time from the arrival to the first event, or to the response; 0 without one.
	wait time.Duration
}

// newTrace returns the requests of all streams in order of time. Each stream has its own random generator, so that a
// change of one does not change the others.
func newTrace(seed uint64, streams []stream, duration time.Duration) []*request {
	var trace []*request
	for i := range streams {
		s := &streams[i]
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		peak := s.rate * max(1, s.surge)
		for at := time.Duration(0); ; {
			at += time.Duration(math.Ceil(rng.ExpFloat64() / peak * float64(time.Second)))
			if at >= duration {
				break
			}
			if inSurge(at) || rng.Float64() < s.rate/peak {
				trace = append(trace, s.newRequest(rng, startTime+at))
			}
		}
	}
	slices.SortStableFunc(trace, func(a, b *request) int { return cmp.Compare(a.arrival, b.arrival) })
	for i, r := range trace {
		r.index = uint64(i + 1)
		if len(r.parts) > 0 {
			r.parts = append(r.parts, part{fleet.Hash("own", fmt.Sprint(r.index)), r.stream.kind.ownTokens})
		}
	}
	return trace
}

func (s *stream) newRequest(rng *rand.Rand, at time.Duration) *request {
	r := &request{stream: s, arrival: at, customer: customerID(s.group, rng.IntN(s.customers))}
	if s.kind.prompts > 0 {
		r.parts = []part{{fleet.Hash(s.kind.name, fmt.Sprint(rng.IntN(s.kind.prompts))), s.kind.sharedTokens}}
	}
	return r
}

func customerID(group string, i int) fleet.CustomerID {
	return fleet.CustomerID(fmt.Sprintf("%s-%d", group, i))
}

// deadline is when the caller of a request gives up.
func (r *request) deadline() time.Duration { return r.arrival + r.stream.kind.deadline }
