package core

import (
	"slices"

	"github.com/bilberrywell/bilberrywell/admission"
	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// maxPlacements bounds the chats of one engine that are remembered to run elsewhere, per
// generation. 11 M chats on 1,600 engines are 6,900 first choices per engine.
const maxPlacements = 4096

// placements remembers, for the engines of this home, the chats that overflowed to another
// engine. A chat returns there while its cache is warm, which saves the prefill that a
// return to its first choice would cost.
type placements struct {
	byFirst map[fleet.EngineID]*placementSet
}

// placementSet holds the recent placements in two generations: the older one is dropped when
// the newer one is full.
type placementSet struct {
	recent, old map[fleet.ChatKey]fleet.EngineID
}

func (p *placements) init() { p.byFirst = make(map[fleet.EngineID]*placementSet) }

func (p *placements) add(first fleet.EngineID, chat fleet.ChatKey, engine fleet.EngineID) {
	set := p.byFirst[first]
	if set == nil {
		set = &placementSet{recent: make(map[fleet.ChatKey]fleet.EngineID)}
		p.byFirst[first] = set
	}
	if len(set.recent) >= maxPlacements {
		set.old, set.recent = set.recent, make(map[fleet.ChatKey]fleet.EngineID)
	}
	set.recent[chat] = engine
}

// find returns the engine on which a chat was placed, or "".
func (p *placements) find(first fleet.EngineID, chat fleet.ChatKey) fleet.EngineID {
	set := p.byFirst[first]
	if set == nil {
		return ""
	}
	if engine, ok := set.recent[chat]; ok {
		return engine
	}
	engine, ok := set.old[chat]
	if ok {
		p.add(first, chat, engine)
	}
	return engine
}

func (p *placements) drop(first fleet.EngineID) { delete(p.byFirst, first) }

// redirectPlaced sends an entry to the engine on which a chat ran last, if the chat is cold
// on its first choice. It reports whether it answered.
func (c *Core) redirectPlaced(from fleet.InstanceID, m *wire.Admit) bool {
	if m.Settled || c.homes.probes[m.Engine] == nil || c.homes.admission.WarmthOf(m.Engine, m.Chat) != admission.Cold {
		return false
	}
	placed := c.engines[c.homes.placements.find(m.Engine, m.Chat)]
	if placed == nil || placed.stopped {
		return false
	}
	c.send(from, &wire.AdmitReply{
		Attempt:  m.Attempt,
		Decision: wire.DecisionRedirect,
		Placed:   placed.ID,
	})
	return true
}

// askPlaced asks for the engine on which a chat was placed. When it has no room, the walk
// begins at the first choice. It reports whether it went on with the request.
func (c *Core) askPlaced(r *request, id fleet.EngineID) bool {
	if id == "" {
		return false
	}
	r.next = 0
	engine := c.engines[id]
	if engine == nil || engine.stopped || slices.Contains(r.avoid, id) {
		c.askNext(r)
		return true
	}
	r.placed = id
	c.ask(r, engine)
	return true
}

// announcePlacement tells the home of a chat's first choice that the chat runs elsewhere.
func (c *Core) announcePlacement(r *request) {
	if r.service.Kind != config.KindChat || len(r.choices) == 0 || r.engine.ID == r.placed {
		return
	}
	first := r.choices[0]
	if home := c.homeOf(first); r.engine.ID != first.ID && home != "" {
		c.send(home, &wire.Placed{Chat: r.call.Chat, First: first.ID, Engine: r.engine.ID})
	}
}
