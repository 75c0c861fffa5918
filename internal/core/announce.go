package core

import (
	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// announcementsPerTick is the largest number of chats that a home checks in one tick. A
	// ranking over 1,600 engines takes about 5 us, so 100 chats delay a step by half a
	// millisecond.
	announcementsPerTick = 100
	// maxAnnouncedPerEngine is the largest number of chats that a home checks per engine. It is
	// the default size of the cache estimate.
	maxAnnouncedPerEngine = 8192
)

// cacheAnnouncements is a pass over the chats that are cached on this home's engines. It
// follows a change of homes or engines. The home of a chat's new first choice doesn't know
// which engine has the chat cached, so the home of that engine sends it a placement.
type cacheAnnouncements struct {
	queue []cachedChat
	// rehomed lists the engines that are new or have had a new home since the pass began.
	rehomed map[fleet.EngineID]bool
	// removed lists the engines that were removed from the configuration.
	removed []*engineInfo
}

// cachedChat is a chat in the cache estimate of an engine.
type cachedChat struct {
	engine fleet.EngineID
	chat   fleet.ChatKey
}

// engineRemoved records a removed engine, whose chats have a new first choice.
func (a *cacheAnnouncements) engineRemoved(engine *engineInfo) { a.removed = append(a.removed, engine) }

// startCacheAnnouncements starts a pass. A pass that is still running starts again with the
// changes of both.
func (c *Core) startCacheAnnouncements(moved map[fleet.InstanceID][]fleet.EngineID) {
	a := &c.homes.cacheAnnouncements
	if a.rehomed == nil {
		a.rehomed = make(map[fleet.EngineID]bool)
	}
	for _, engines := range moved {
		for _, id := range engines {
			a.rehomed[id] = true
		}
	}
	a.queue = a.queue[:0]
	if len(a.rehomed)+len(a.removed) > 0 {
		for _, id := range c.homes.ownedEngines {
			for _, chat := range c.homes.admission.CachedChats(id, maxAnnouncedPerEngine) {
				a.queue = append(a.queue, cachedChat{id, chat})
			}
		}
	}
	c.resetFinishedAnnouncements()
}

// tickCacheAnnouncements checks the next chats of the pass.
func (c *Core) tickCacheAnnouncements() {
	a := &c.homes.cacheAnnouncements
	n := min(announcementsPerTick, len(a.queue))
	for _, cached := range a.queue[:n] {
		c.announceCachedChat(cached)
	}
	a.queue = a.queue[n:]
	c.resetFinishedAnnouncements()
}

// resetFinishedAnnouncements clears the state of a pass that has no chats left.
func (c *Core) resetFinishedAnnouncements() {
	if a := &c.homes.cacheAnnouncements; len(a.queue) == 0 {
		*a = cacheAnnouncements{}
	}
}

// announceCachedChat sends the home of a chat's first choice the engine that has the chat
// cached, if that is another engine and the home has not been sent it before.
func (c *Core) announceCachedChat(cached cachedChat) {
	engine := c.engines[cached.engine]
	if engine == nil || engine.stopped || !c.servesChats(cached.engine) {
		return
	}
	choices := c.pools[engine.service.ID].choices(cached.chat)
	if len(choices) == 0 || choices[0].ID == cached.engine || !c.becameFirstChoice(choices[0], cached.chat) {
		return
	}
	if home := c.homeOf(choices[0]); home != "" {
		c.send(home, &wire.ChatPlacement{Chat: cached.chat, First: choices[0].ID, Engine: cached.engine})
	}
}

// becameFirstChoice reports whether the changes of this pass made an engine a chat's first
// choice or gave that engine a new home.
func (c *Core) becameFirstChoice(first *engineInfo, chat fleet.ChatKey) bool {
	a := &c.homes.cacheAnnouncements
	if a.rehomed[first.ID] {
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

// scoreOf returns the rendezvous score of an engine for a chat.
func scoreOf(engine *engineInfo, chat fleet.ChatKey) float64 {
	return affinity.Score(uint64(chat), affinity.Seed(string(engine.ID)), engine.Capacity)
}
