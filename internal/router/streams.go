package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/versions"
)

// streamState holds what this instance knows of the origins of streams.
type streamState struct {
	memory *versions.Memory
	// open holds the versions of each service, keeps of which services other instances keep the origins.
	open  map[fleet.ServiceID]*openVersions
	keeps map[fleet.ServiceID]bool
	// tickedAt is the time of the last tick, resumedAt that of the last one after suspensionTime without any, or never.
	tickedAt, resumedAt time.Duration
	// searches holds the requests for the rest of a stream whose origin is searched for, by the ID of the question.
	lastID   uint64
	searches map[uint64]*originSearch
	keeping  originKeeping
}

func (s *streamState) init() {
	s.memory = versions.NewMemory(minOriginLife)
	s.open = make(map[fleet.ServiceID]*openVersions)
	s.keeps = make(map[fleet.ServiceID]bool)
	s.resumedAt = never
	s.searches = make(map[uint64]*originSearch)
	s.keeping.init()
}

// recordDelivery records whether a part of the response has reached the caller of a request. With one attempt under way,
// the part is that attempt's; of two, the first event tells.
func (r *Router) recordDelivery(c *call, delivered bool) {
	if delivered && c.beside == nil && !c.partDelivered {
		r.streamBegan(c, c.version)
	}
	c.partDelivered = c.partDelivered || delivered
}

// streamBegan records the origin of a stream of which an event has reached the caller. It changes only if the stream goes on
// at another service, to which its route leads meanwhile.
func (r *Router) streamBegan(c *call, version fleet.EngineVersion) {
	if !c.route.ResumableStream() || c.originKept {
		return
	}
	c.originKept = true
	if c.origin == nil || c.origin.Service != c.service {
		c.origin = &versions.Origin{Service: c.service, Version: version}
	}
	r.keepOrigin(c.streamKey(), *c.origin)
}

// streamKey identifies the stream of a request.
func (c *call) streamKey() versions.StreamKey {
	if c.Resumes {
		return c.Stream
	}
	return versions.KeyOf(c.RequestID)
}

// tickStreams looks after the requests that wait for the origin of their stream, and after what is kept of origins.
func (r *Router) tickStreams() {
	r.streams.tickedAt = r.now
	r.tickOriginSearches()
	r.streams.memory.Expire(r.now)
	r.tickOpenVersions()
	r.tickOrigins()
}

// canGoOn reports whether a stream of which the caller has a part can go on at an engine of a pool.
func (r *Router) canGoOn(c *call, pool *servicePool) bool {
	return c.origin == nil || c.origin.Service != c.service || pool.engines.Offers(c.origin.Version)
}

// fits reports whether an engine may get a request that was placed before its stream began, perhaps.
func (c *call) fits(version fleet.EngineVersion) bool {
	return c.origin == nil || c.origin.Service != c.service || c.origin.Version == version
}
