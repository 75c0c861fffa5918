// Package waitqueue orders the requests that wait at one instance until an engine has room for them.
//
// It is made for two kinds of request that surge together for some seconds while customers send far above their
// share and refused clients retry at once. Requests are served by urgency, not by arrival, so the queue of the less
// urgent kinds grows and the most urgent kind waits hardly at all. Within an urgency the customers get equal parts, and
// one turn in OldestTurn goes to the request that has waited longest, so that no kind starves. The size of a
// request has no influence on its place.
//
// Requests wait in groups, one for each service. The bounds hold for all groups together. The package is pure: times
// are passed in, and no result depends on the order of a map.
package waitqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Config holds the bounds of a Queue. Zero fields take the defaults.
type Config struct {
	// MaxRequests and MaxBytes bound the waiting requests and the sum of their bodies. Defaults 256 and 8 MiB.
	MaxRequests int
	MaxBytes    int64
	// OldestTurn is the number of turns of which one goes to the request that has waited longest. Default 8.
	OldestTurn int
}

func (c Config) withDefaults() Config {
	c.MaxRequests = cmp.Or(max(c.MaxRequests, 0), 256)
	c.MaxBytes = cmp.Or(max(c.MaxBytes, 0), 8<<20)
	c.OldestTurn = cmp.Or(max(c.OldestTurn, 0), 8)
	return c
}

// Request is a request that waits.
type Request struct {
	ID       uint64
	Group    fleet.ServiceID
	Customer fleet.CustomerID
	// Urgency ranks the request; 0 is the most urgent.
	Urgency int
	// EarlyRetry marks a request that its client repeats sooner than it was told to.
	EarlyRetry bool
	// Arrived is when the request arrived at the instance, Since when it began to wait.
	Arrived, Since time.Duration
	// MeetsTargetUntil is until when a request that is sent can still meet its target latency, and ServableUntil until
	// when it can still end before its deadline.
	MeetsTargetUntil, ServableUntil time.Duration
	Bytes                           int64
	// Home is the engine that is likely to have the request's prompt cached, or empty.
	Home fleet.EngineID
}

// item is a waiting request with what its place depends on.
type item struct {
	Request
	customer *customer
	leaving  bool
}

// Queue holds the waiting requests of an instance. It is not safe for concurrent use.
type Queue struct {
	config Config
	// groups is sorted by name.
	groups []*group
	len    int
	bytes  int64
}

// group holds the waiting requests of one service in the order in which they began to wait.
type group struct {
	name      fleet.ServiceID
	items     []*item
	customers customers
	// turns counts the requests that were taken.
	turns int
	rate  Meter
}

// New returns an empty queue.
func New(config Config) *Queue { return &Queue{config: config.withDefaults()} }

// Len returns the number of waiting requests of all groups.
func (q *Queue) Len() int { return q.len }

// Bytes returns the size of the bodies of all waiting requests.
func (q *Queue) Bytes() int64 { return q.bytes }

// Waiting returns the number of waiting requests of a group.
func (q *Queue) Waiting(name fleet.ServiceID) int { return len(q.group(name).items) }

// Groups returns the names of the groups in which requests wait, sorted.
func (q *Queue) Groups() []fleet.ServiceID {
	var names []fleet.ServiceID
	for _, g := range q.groups {
		if len(g.items) > 0 {
			names = append(names, g.name)
		}
	}
	return names
}

// Requests returns the waiting requests of a group in the order in which they began to wait.
func (q *Queue) Requests(name fleet.ServiceID) []Request {
	g := q.group(name)
	list := make([]Request, len(g.items))
	for i, it := range g.items {
		list[i] = it.Request
	}
	return list
}

// Push adds a request. If it does not fit, the requests in evicted give way to it; if ok is false, the request itself
// does, and none is evicted. The least urgent request of the customer with most waiting requests gives way.
func (q *Queue) Push(now time.Duration, r Request) (evicted []Request, ok bool) {
	if r.Bytes > q.config.MaxBytes {
		return nil, false
	}
	g := q.group(r.Group)
	g.customers.advance(now)
	added := &item{Request: r, customer: g.customers.of(r.Customer)}
	victims, ok := q.victims(added)
	if !ok {
		return nil, false
	}
	for _, v := range victims {
		q.Remove(v.Group, v.ID)
		evicted = append(evicted, v.Request)
	}
	g.items = append(g.items, added)
	added.customer.waiting++
	q.len++
	q.bytes += r.Bytes
	return evicted, true
}

// victims returns the requests that must leave for a new one, or false if the new one must.
func (q *Queue) victims(added *item) ([]*item, bool) {
	length, bytes := q.len+1, q.bytes+added.Bytes
	if length <= q.config.MaxRequests && bytes <= q.config.MaxBytes {
		return nil, true
	}
	var victims []*item
	defer func() {
		for _, v := range victims {
			v.leaving = false
		}
	}()
	waiting := q.waitingByCustomer()
	waiting[added.Customer]++
	for length > q.config.MaxRequests || bytes > q.config.MaxBytes {
		v := q.victim(added, waiting)
		if v == added {
			return nil, false
		}
		v.leaving = true
		victims = append(victims, v)
		waiting[v.Customer]--
		length--
		bytes -= v.Bytes
	}
	return victims, true
}

func (q *Queue) waitingByCustomer() map[fleet.CustomerID]int {
	waiting := make(map[fleet.CustomerID]int)
	for _, g := range q.groups {
		for _, c := range g.customers.list {
			waiting[c.id] += c.waiting
		}
	}
	return waiting
}

// victim returns the request that gives way first: the least urgent one of the customer with most waiting requests,
// and of equal ones the newest.
func (q *Queue) victim(added *item, waiting map[fleet.CustomerID]int) *item {
	worst := added
	for _, g := range q.groups {
		for _, it := range g.items {
			if !it.leaving && cmp.Or(cmp.Compare(waiting[it.Customer], waiting[worst.Customer]), cmp.Compare(it.Urgency, worst.Urgency),
				cmp.Compare(it.Arrived, worst.Arrived), cmp.Compare(it.ID, worst.ID)) > 0 {
				worst = it
			}
		}
	}
	return worst
}

// Remove removes a request. It returns false if the request does not wait.
func (q *Queue) Remove(name fleet.ServiceID, id uint64) (Request, bool) {
	g := q.group(name)
	i := slices.IndexFunc(g.items, func(it *item) bool { return it.ID == id })
	if i < 0 {
		return Request{}, false
	}
	it := g.items[i]
	g.items = slices.Delete(g.items, i, i+1)
	it.customer.waiting--
	q.len--
	q.bytes -= it.Bytes
	return it.Request, true
}

// group returns the group of a service and adds it if it is new.
func (q *Queue) group(name fleet.ServiceID) *group {
	i, found := slices.BinarySearchFunc(q.groups, name, func(g *group, name fleet.ServiceID) int { return cmp.Compare(g.name, name) })
	if !found {
		q.groups = slices.Insert(q.groups, i, &group{name: name})
	}
	return q.groups[i]
}
