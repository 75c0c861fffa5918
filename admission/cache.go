package admission

import (
	"math"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// CacheState is the estimate of whether an engine holds a chat's prefix in its cache.
type CacheState uint8

// The cache states. Their texts are "cold", "doubtful" and "warm".
const (
	// CacheAbsent: the prefix is probably not cached, since the estimate does not list the chat.
	CacheAbsent CacheState = iota
	// CacheDoubtful: the prefix was cached, but cache events have been missed since.
	CacheDoubtful
	// CacheConfirmed: the prefix was cached, has not been evicted, and no cache events have been missed
	// since.
	CacheConfirmed
)

// String returns the text of the state.
func (s CacheState) String() string { return [...]string{"cold", "doubtful", "warm"}[s] }

// CacheEvent is a batch of cache changes that an engine published.
type CacheEvent struct {
	// Seq rises by one with each batch, starting at 1. The first batch that a home gets never
	// counts as a gap, whatever its number.
	Seq uint64
	// At is when the changes took effect, on the home's clock. Events arrive later.
	At time.Duration
	// Stored and Evicted are the chats whose prefix entered or left the cache.
	Stored, Evicted []fleet.ChatKey
}

// noNode marks either end of the list of nodes.
const noNode = int32(-1)

// node is one chat in the list of a cacheEstimate, in order of use.
type node struct {
	chat       fleet.ChatKey
	at         time.Duration
	prev, next int32
}

// cacheEstimate is a bounded list of the chats that are probably cached, most recently used first.
//
// After a gap in the events, the chats that were last confirmed before the end of the gap are
// doubtful. A chat that is confirmed later has the state CacheConfirmed again.
type cacheEstimate struct {
	limit          int
	index          map[fleet.ChatKey]int32
	nodes          []node
	head, tail     int32
	seq            uint64
	doubtfulBefore time.Duration
}

func newCacheEstimate(limit int) cacheEstimate {
	return cacheEstimate{limit: limit, head: noNode, tail: noNode}
}

// state returns the estimate for a chat.
func (c *cacheEstimate) state(chat fleet.ChatKey) CacheState {
	i, ok := c.index[chat]
	switch {
	case !ok:
		return CacheAbsent
	case c.nodes[i].at < c.doubtfulBefore:
		return CacheDoubtful
	}
	return CacheConfirmed
}

// confirm records that a chat's prefix was cached at time at.
func (c *cacheEstimate) confirm(chat fleet.ChatKey, at time.Duration) {
	i, ok := c.index[chat]
	if ok && c.nodes[i].at >= at {
		return
	}
	if !ok {
		i = c.newNode(chat)
	} else {
		c.unlink(i)
	}
	c.nodes[i].at = at
	c.pushFront(i)
}

// newNode returns an unlinked node for a new chat. At the limit it first removes the least recently
// used chat.
func (c *cacheEstimate) newNode(chat fleet.ChatKey) int32 {
	if c.index == nil {
		c.index = make(map[fleet.ChatKey]int32)
	}
	if len(c.index) >= c.limit {
		c.remove(c.nodes[c.tail].chat)
	}
	c.nodes = append(c.nodes, node{chat: chat})
	i := int32(len(c.nodes) - 1)
	c.index[chat] = i
	return i
}

// remove deletes a chat and moves the last node into the freed place, so that nodes has no holes.
func (c *cacheEstimate) remove(chat fleet.ChatKey) {
	i, ok := c.index[chat]
	if !ok {
		return
	}
	c.unlink(i)
	delete(c.index, chat)
	last := int32(len(c.nodes) - 1)
	if i != last {
		c.move(last, i)
	}
	c.nodes = c.nodes[:last]
}

// move copies the node at from into the unused place to and updates the links to it.
func (c *cacheEstimate) move(from, to int32) {
	n := c.nodes[from]
	c.nodes[to] = n
	c.index[n.chat] = to
	if n.prev == noNode {
		c.head = to
	} else {
		c.nodes[n.prev].next = to
	}
	if n.next == noNode {
		c.tail = to
	} else {
		c.nodes[n.next].prev = to
	}
}

func (c *cacheEstimate) pushFront(i int32) {
	c.nodes[i].prev, c.nodes[i].next = noNode, c.head
	if c.head != noNode {
		c.nodes[c.head].prev = i
	} else {
		c.tail = i
	}
	c.head = i
}

func (c *cacheEstimate) unlink(i int32) {
	n := c.nodes[i]
	if n.prev == noNode {
		c.head = n.next
	} else {
		c.nodes[n.prev].next = n.next
	}
	if n.next == noNode {
		c.tail = n.prev
	} else {
		c.nodes[n.next].prev = n.prev
	}
}

// apply updates the estimate with an event. Changes to a chat that are older than its last
// confirmation are ignored.
func (c *cacheEstimate) apply(event CacheEvent) {
	if c.seq != 0 && event.Seq > c.seq+1 {
		c.doubtfulBefore = max(c.doubtfulBefore, event.At)
	}
	c.seq = max(c.seq, event.Seq)
	for _, chat := range event.Evicted {
		if i, ok := c.index[chat]; ok && c.nodes[i].at <= event.At {
			c.remove(chat)
		}
	}
	for _, chat := range event.Stored {
		c.confirm(chat, event.At)
	}
}

// recent returns at most limit chats that were confirmed at or after since, most recently used first.
func (c *cacheEstimate) recent(since time.Duration, limit int) []fleet.ChatKey {
	var chats []fleet.ChatKey
	for i := c.head; i != noNode && len(chats) < limit; i = c.nodes[i].next {
		if c.nodes[i].at >= since {
			chats = append(chats, c.nodes[i].chat)
		}
	}
	return chats
}

// CacheEvent updates the cache estimate of an engine. Events of engines of other homes are ignored.
func (h *Home) CacheEvent(engine fleet.EngineID, event CacheEvent) {
	if e, ok := h.engines[engine]; ok {
		e.cache.apply(event)
	}
}

// CacheStateOf returns the cache estimate for a chat on an engine.
func (h *Home) CacheStateOf(engine fleet.EngineID, chat fleet.ChatKey) CacheState {
	if e, ok := h.engines[engine]; ok {
		return e.cache.state(chat)
	}
	return CacheAbsent
}

// ConfirmedChats returns at most limit chats with the state CacheConfirmed on an engine, most
// recently used first. They are exported before a planned stop.
func (h *Home) ConfirmedChats(engine fleet.EngineID, limit int) []fleet.ChatKey {
	if e, ok := h.engines[engine]; ok {
		return e.cache.recent(e.cache.doubtfulBefore, limit)
	}
	return nil
}

// CachedChats returns at most limit chats with the state CacheConfirmed or CacheDoubtful on an
// engine, most recently used first.
func (h *Home) CachedChats(engine fleet.EngineID, limit int) []fleet.ChatKey {
	if e, ok := h.engines[engine]; ok {
		return e.cache.recent(math.MinInt64, limit)
	}
	return nil
}
