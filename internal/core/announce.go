package core

import (
	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// announcedPerTick bounds the chats that a home looks at in one tick. A ranking over 1,600
	// engines takes some 5 us, so that 100 chats delay a step by half a millisecond.
	announcedPerTick = 100
	// maxAnnounced bounds the chats that a home looks at per engine, the cache estimate's default size.
	maxAnnounced = 8192
)

// announceState is a pass over the cached chats of this home after a change of first choices.
// The home of a chat's new first choice can't know where the chat is cached, so the home of
// the engine that has it tells.
type announceState struct {
	queue []cachedChat
	// fresh lists the engines that have a new home, or are new, since the pass began.
	fresh map[fleet.EngineID]bool
	// removed lists the engines that left their pool.
	removed []*engineInfo
}

type cachedChat struct {
	engine fleet.EngineID
	chat   fleet.ChatKey
}

// engineRemoved notes that the chats of an engine have a new first choice.
func (a *announceState) engineRemoved(engine *engineInfo) { a.removed = append(a.removed, engine) }

// startAnnouncements begins a pass, or begins again with the changes of both.
func (c *Core) startAnnouncements(moved map[fleet.InstanceID][]fleet.EngineID) {
	a := &c.homes.announce
	if a.fresh == nil {
		a.fresh = make(map[fleet.EngineID]bool)
	}
	for _, engines := range moved {
		for _, id := range engines {
			a.fresh[id] = true
		}
	}
	a.queue = a.queue[:0]
	if len(a.fresh)+len(a.removed) > 0 {
		for _, id := range c.homes.owned {
			for _, chat := range c.homes.admission.CachedChats(id, maxAnnounced) {
				a.queue = append(a.queue, cachedChat{id, chat})
			}
		}
	}
	c.endAnnouncements()
}

// tickAnnouncements looks at the next chats.
func (c *Core) tickAnnouncements() {
	a := &c.homes.announce
	n := min(announcedPerTick, len(a.queue))
	for _, cached := range a.queue[:n] {
		c.announceCached(cached)
	}
	a.queue = a.queue[n:]
	c.endAnnouncements()
}

func (c *Core) endAnnouncements() {
	if a := &c.homes.announce; len(a.queue) == 0 {
		*a = announceState{}
	}
}

// announceCached tells the home of a chat's first choice where the chat is cached, if that is
// elsewhere and the home is not the one that was told before.
func (c *Core) announceCached(cached cachedChat) {
	engine := c.engines[cached.engine]
	if engine == nil || engine.stopped || !c.servesChats(cached.engine) {
		return
	}
	choices := c.pools[engine.service.ID].choices(cached.chat)
	if len(choices) == 0 || choices[0].ID == cached.engine || !c.isFresh(choices[0], cached.chat) {
		return
	}
	if home := c.homeOf(choices[0]); home != "" {
		c.send(home, &wire.Placed{Chat: cached.chat, First: choices[0].ID, Engine: cached.engine})
	}
}

// isFresh reports whether an engine became a chat's first choice, or got its home, in the
// changes of this pass.
func (c *Core) isFresh(first *engineInfo, chat fleet.ChatKey) bool {
	a := &c.homes.announce
	if a.fresh[first.ID] {
		return true
	}
	score := scoreOf(first, chat)
	for _, removed := range a.removed {
		if removed.service.ID == first.service.ID && scoreOf(removed, chat) > score {
			return true
		}
	}
	return false
}

func scoreOf(engine *engineInfo, chat fleet.ChatKey) float64 {
	return affinity.Score(uint64(chat), affinity.Seed(string(engine.ID)), engine.Capacity)
}
