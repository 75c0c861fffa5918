package core

import (
	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
)

// choicesPerChat is the number of engines in a chat's order of preference. With a load bound
// of c = 1.25 an engine is at its bound about one time in four, so all eight choices are full
// less than once in 10,000.
const choicesPerChat = 8

// pool holds the engines of a service to which this instance routes.
type pool struct {
	service *config.Service
	ranking *affinity.Pool
	engines []*engineInfo
}

// engineInfo is a published engine and its state as known to this instance.
type engineInfo struct {
	config.Engine
	service *config.Service
	// stopped is set while a planned stop of the engine is active.
	stopped bool
	// saturated is set if the engine's home announced it as full.
	saturated bool
}

func (e *engineInfo) target() Target {
	return Target{Engine: e.ID, Addr: e.Addr}
}

// rebuildPools builds all engines and pools from the configuration in force.
func (c *Core) rebuildPools() {
	old := c.engines
	c.engines = make(map[fleet.EngineID]*engineInfo)
	c.pools = make(map[fleet.ServiceID]*pool, len(c.snapshot.Services))
	for id, service := range c.snapshot.Services {
		c.pools[id] = c.buildPool(service, old)
	}
	for id, engine := range old {
		if c.engines[id] == nil {
			c.homes.cacheAnnouncements.engineRemoved(engine)
		}
	}
	c.applyStops()
}

func (c *Core) buildPool(service *config.Service, old map[fleet.EngineID]*engineInfo) *pool {
	p := &pool{service: service}
	servedInRegion := hasRegion(service.Engines, c.cfg.Region)
	var candidates []affinity.Candidate
	for _, engine := range service.Engines {
		info := &engineInfo{Engine: engine, service: service}
		if before := old[engine.ID]; before != nil {
			info.saturated = before.saturated
		}
		c.engines[engine.ID] = info
		// If the service has engines in this instance's region, only those are used.
		if servedInRegion && engine.Region != c.cfg.Region {
			continue
		}
		p.engines = append(p.engines, info)
		candidates = append(candidates, affinity.Candidate{ID: string(engine.ID), Weight: engine.Capacity})
	}
	p.ranking = affinity.NewPool(candidates)
	return p
}

func hasRegion(engines []config.Engine, region fleet.Region) bool {
	for _, engine := range engines {
		if engine.Region == region {
			return true
		}
	}
	return false
}

// applyStops marks the engines with an active planned stop as stopped. It reports whether any
// mark changed.
func (c *Core) applyStops() bool {
	if c.snapshot == nil {
		return false
	}
	active := make(map[fleet.EngineID]bool)
	for _, stop := range c.snapshot.Stops {
		if stop.Engine != "" && stop.ActiveAt(c.now.Wall) {
			active[stop.Engine] = true
		}
	}
	changed := false
	for id, engine := range c.engines {
		if engine.stopped != active[id] {
			engine.stopped = active[id]
			changed = true
		}
	}
	return changed
}

// choices returns the engines that a chat prefers, in order and without stopped ones.
func (p *pool) choices(chat fleet.ChatKey) []*engineInfo {
	// Stopped engines are skipped after the ranking, so that the other chats keep their choices.
	ranked := p.ranking.Top(uint64(chat), min(2*choicesPerChat, p.ranking.Len()), nil)
	list := make([]*engineInfo, 0, choicesPerChat)
	for _, choice := range ranked {
		engine := p.engines[choice.Index]
		if !engine.stopped && len(list) < choicesPerChat {
			list = append(list, engine)
		}
	}
	if len(list) > 0 {
		return list
	}
	return p.firstNotStopped()
}

// firstNotStopped returns the first engines that are not stopped, for a chat whose choices are all
// stopped.
func (p *pool) firstNotStopped() []*engineInfo {
	var list []*engineInfo
	for _, engine := range p.engines {
		if !engine.stopped && len(list) < choicesPerChat {
			list = append(list, engine)
		}
	}
	return list
}
