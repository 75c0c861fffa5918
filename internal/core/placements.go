package core

import (
	"slices"

	"github.com/bilberrywell/bilberrywell/admission"
	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// maxPlacementsPerGeneration is the largest number of placements per first choice and
// generation. 11 M chats on 1,600 engines give 6,900 first choices per engine.
const maxPlacementsPerGeneration = 4096

// placements records, for each engine of this home, the chats whose first choice it is but
// that last ran on another engine. While that engine has a chat cached, the chat is sent there
// again, which saves the prefill that a return to its first choice would cost.
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
	if len(set.recent) >= maxPlacementsPerGeneration {
		set.old, set.recent = set.recent, make(map[fleet.ChatKey]fleet.EngineID)
	}
	set.recent[chat] = engine
}

// find returns the engine on which a chat was placed, or "". A placement of the older
// generation moves to the newer one.
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

// redirectToPlaced redirects an entry to the engine on which a chat ran last, if the chat is
// not cached on its first choice. It reports whether it answered.
func (c *Core) redirectToPlaced(from fleet.InstanceID, m *wire.Admit) bool {
	if m.IgnorePlacement || c.homes.engineProbes[m.Engine] == nil || c.homes.admission.CacheStateOf(m.Engine, m.Chat) != admission.CacheAbsent {
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

// askPlacedEngine asks the home of the engine on which a chat was placed. If that engine can't
// be used, the choices are asked from the first one on. It returns false, without a change,
// if no placement is given.
func (c *Core) askPlacedEngine(r *request, id fleet.EngineID) bool {
	if id == "" {
		return false
	}
	r.nextChoice = 0
	engine := c.engines[id]
	if engine == nil || engine.stopped || slices.Contains(r.excludedEngines, id) {
		c.askNextChoice(r)
		return true
	}
	r.placedEngine = id
	c.requestAdmission(r, engine)
	return true
}

// announcePlacement sends a chat's placement to the home of its first choice, if the chat runs
// on another engine and the placement is new.
func (c *Core) announcePlacement(r *request) {
	if r.service.Kind != config.KindChat || len(r.choices) == 0 || r.engine.ID == r.placedEngine {
		return
	}
	first := r.choices[0]
	if home := c.homeOf(first); r.engine.ID != first.ID && home != "" {
		c.send(home, &wire.ChatPlacement{Chat: r.call.Chat, First: first.ID, Engine: r.engine.ID})
	}
}
