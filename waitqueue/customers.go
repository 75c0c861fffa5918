package waitqueue

import (
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	// shareWindow is the time over which the requests of customers are compared, in slices.
	shareWindow      = 2 * time.Second
	shareSlices      = 4
	shareSliceLength = shareWindow / shareSlices
	// overShareFactor is how many times its part of the requests a customer may send.
	overShareFactor = 2
)

// customer holds the counts of one customer in a group. All customers have the same weight.
type customer struct {
	id               fleet.CustomerID
	running, waiting int
	// arrived counts the requests by slice, and recent is their sum over the window.
	arrived [shareSlices]int
	recent  int
}

// customers holds the customers of a group.
type customers struct {
	byID map[fleet.CustomerID]*customer
	list []*customer
	// slice is the number of the newest slice. recent is the sum over all customers, of which active sent a request in
	// the window.
	slice          int64
	recent, active int
}

func (cs *customers) of(id fleet.CustomerID) *customer {
	c := cs.byID[id]
	if c == nil {
		c = &customer{id: id}
		if cs.byID == nil {
			cs.byID = make(map[fleet.CustomerID]*customer)
		}
		cs.byID[id] = c
		cs.list = append(cs.list, c)
	}
	return c
}

// Arrived counts a request of a customer, whether it has to wait or not.
func (q *Queue) Arrived(now time.Duration, name fleet.ServiceID, id fleet.CustomerID) {
	cs := &q.group(name).customers
	cs.advance(now)
	c := cs.of(id)
	if c.recent == 0 {
		cs.active++
	}
	c.arrived[cs.slice%shareSlices]++
	c.recent++
	cs.recent++
}

// Started counts a request of a customer that was sent to an engine.
func (q *Queue) Started(name fleet.ServiceID, id fleet.CustomerID) {
	q.group(name).customers.of(id).running++
}

// Ended counts the end of a request that Started counted.
func (q *Queue) Ended(name fleet.ServiceID, id fleet.CustomerID) {
	if c := q.group(name).customers.of(id); c.running > 0 {
		c.running--
	}
}

// OverShare reports whether a customer has sent more than twice its part of the recent requests of a group.
func (q *Queue) OverShare(now time.Duration, name fleet.ServiceID, id fleet.CustomerID) bool {
	cs := &q.group(name).customers
	cs.advance(now)
	return cs.overShare(cs.of(id))
}

func (cs *customers) overShare(c *customer) bool {
	return c.recent*cs.active > overShareFactor*cs.recent
}

// advance removes what is no longer in the window, and customers without any request.
func (cs *customers) advance(now time.Duration) {
	slice := int64(now / shareSliceLength)
	if slice <= cs.slice {
		return
	}
	first := max(cs.slice+1, slice-shareSlices+1)
	cs.recent, cs.active = 0, 0
	for _, c := range cs.list {
		for s := first; s <= slice; s++ {
			c.recent -= c.arrived[s%shareSlices]
			c.arrived[s%shareSlices] = 0
		}
		cs.recent += c.recent
		if c.recent > 0 {
			cs.active++
		}
	}
	cs.slice = slice
	cs.list = slices.DeleteFunc(cs.list, func(c *customer) bool {
		idle := c.recent == 0 && c.running == 0 && c.waiting == 0
		if idle {
			delete(cs.byID, c.id)
		}
		return idle
	})
}
