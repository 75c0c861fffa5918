package waitqueue

import (
	"maps"
	"slices"
)

// Clone returns a copy that shares nothing with the queue that changes.
func (q *Queue) Clone() *Queue {
	c := *q
	c.groups = make([]*group, len(q.groups))
	for i, g := range q.groups {
		c.groups[i] = g.clone()
	}
	return &c
}

func (g *group) clone() *group {
	c := *g
	copies := make(map[*customer]*customer)
	// A waiting request may name a customer that is listed no more.
	clone := func(of *customer) *customer {
		if of != nil && copies[of] == nil {
			copied := *of
			copies[of] = &copied
		}
		return copies[of]
	}
	c.customers.byID = maps.Clone(g.customers.byID)
	for id, of := range c.customers.byID {
		c.customers.byID[id] = clone(of)
	}
	c.customers.list = slices.Clone(g.customers.list)
	for i, of := range c.customers.list {
		c.customers.list[i] = clone(of)
	}
	c.items = make([]*item, len(g.items))
	for i, it := range g.items {
		copied := *it
		copied.customer = clone(it.customer)
		c.items[i] = &copied
	}
	return &c
}

// Clone returns a copy that shares nothing with the refusals that changes.
func (rs *Refusals) Clone() Refusals {
	return Refusals{until: maps.Clone(rs.until), ring: slices.Clone(rs.ring), next: rs.next}
}
