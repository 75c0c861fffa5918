package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// Clone returns a copy of the pool that shares nothing with it that changes. rng is the random source of the copy: with
// the state of that of the pool, the copy chooses what the pool would.
func (p *Pool) Clone(rng *rand.Rand) *Pool {
	c := *p
	c.rng = rng
	copies := make(map[*member]*member, len(p.memberList))
	clone := func(m *member) *member {
		if copies[m] == nil {
			copies[m] = m.clone()
		}
		return copies[m]
	}
	c.memberList = make([]*member, len(p.memberList))
	for i, m := range p.memberList {
		c.memberList[i] = clone(m)
	}
	c.members = maps.Clone(p.members)
	for id, m := range c.members {
		c.members[id] = clone(m)
	}
	c.membersByTag = maps.Clone(p.membersByTag)
	for tag, m := range c.membersByTag {
		c.membersByTag[tag] = clone(m)
	}
	c.departed = maps.Clone(p.departed)
	for id, m := range c.departed {
		c.departed[id] = clone(m)
	}
	// Reports of engines that have left the pool are still listed.
	c.totals.reports = slices.Clone(p.totals.reports)
	for i, e := range c.totals.reports {
		c.totals.reports[i].m = clone(e.m)
	}
	c.holders, c.readers = p.holders.clone(), p.readers.clone()
	// The buffers are filled anew by each choice.
	c.rankedChoices, c.paces = nil, nil
	return &c
}

func (m *member) clone() *member {
	c := *m
	if m.limit != nil {
		limit, tokens := *m.limit, *m.limit.tokens
		limit.tokens, c.limit = &tokens, &limit
	}
	if m.warmUp != nil {
		w := *m.warmUp
		if w.tokens != nil {
			tokens := *w.tokens
			w.tokens = &tokens
		}
		c.warmUp = &w
	}
	return &c
}

func (h cacheHolders) clone() cacheHolders {
	h.current, h.previous = maps.Clone(h.current), maps.Clone(h.previous)
	return h
}
