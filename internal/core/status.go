package core

import (
	"sort"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/membership"
)

// Status is the state of an instance as shown to operators.
type Status struct {
	Version   uint64
	PublishID string
	Ready     bool
	Draining  bool
	// ConfigOutcome and ConfigError are the result of the last offered configuration.
	ConfigOutcome string
	ConfigError   string
	Peers         []PeerStatus
	Engines       []EngineStatus
}

// PeerStatus is another instance as seen by this one.
type PeerStatus struct {
	membership.Instance
	Linked, Live, Draining bool
	Version                uint64
}

// EngineStatus is an engine as seen by this instance. Counts are set at its home only.
type EngineStatus struct {
	ID                      fleet.EngineID
	Home                    fleet.InstanceID
	InFlight, Bound, Queued int
	Draining                bool
}

// Status returns the current state.
func (c *Core) Status() Status {
	s := Status{
		Version:       c.configuration.version(),
		PublishID:     c.configuration.publishID,
		Ready:         c.configuration.ready,
		Draining:      c.drain.active,
		ConfigOutcome: c.configuration.offerOutcome,
		ConfigError:   c.configuration.offerRejection,
	}
	s.Peers = c.peerStatus()
	s.Engines = c.engineStatus()
	return s
}

func (c *Core) peerStatus() []PeerStatus {
	live := make(map[fleet.InstanceID]bool)
	homes := make(map[fleet.InstanceID]bool)
	regions := make(map[fleet.Region]bool)
	for _, peer := range c.view.Peers() {
		if regions[peer.Region] {
			continue
		}
		regions[peer.Region] = true
		for _, instance := range c.view.Live(peer.Region) {
			live[instance.ID] = true
		}
		for _, instance := range c.view.HomeCandidates(peer.Region) {
			homes[instance.ID] = true
		}
	}
	var list []PeerStatus
	for _, peer := range c.view.Peers() {
		list = append(list, PeerStatus{
			Instance: peer,
			Linked:   c.isLinked(peer.ID),
			Live:     live[peer.ID],
			Draining: live[peer.ID] && !homes[peer.ID],
			Version:  c.configuration.peerVersions[peer.ID],
		})
	}
	return list
}

func (c *Core) engineStatus() []EngineStatus {
	list := make([]EngineStatus, 0, len(c.engines))
	regions := make(map[fleet.Region]*affinity.HomeCache)
	for id, engine := range c.engines {
		row := EngineStatus{ID: id, Home: c.homeFromCache(regions, engine), Draining: engine.stopped}
		if status, ok := c.homes.admission.Status(id); ok {
			row.InFlight, row.Bound, row.Queued = status.InFlight, status.Limit, status.Waiting
		}
		list = append(list, row)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// homeFromCache returns the home of an engine. It collects the candidates of a region once
// for all its engines.
func (c *Core) homeFromCache(regions map[fleet.Region]*affinity.HomeCache, engine *engineInfo) fleet.InstanceID {
	cache := regions[engine.Region]
	if cache == nil {
		cache = &affinity.HomeCache{}
		cache.Update(c.homeCandidates(engine.Region))
		regions[engine.Region] = cache
	}
	return cache.Home(engine.ID, engine.DataCentre)
}
