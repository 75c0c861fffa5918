package router

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/routing"
	"github.com/bilberrywell/bilberrywell/versions"
)

const (
	// originTimeout is how long a request for the rest of a stream waits for the instances that may know its origin. They
	// answer within milliseconds, or some tens of milliseconds if they read the store.
	originTimeout = 500 * time.Millisecond
	// unknownOriginRetryAfter is the Retry-After of requests for the rest of a stream whose origin could not be looked up.
	unknownOriginRetryAfter = 300 * time.Millisecond
)

// streamState holds what this instance knows of the origins of streams.
type streamState struct {
	memory *versions.Memory
	// open holds the versions of each service, keeps of which services other instances keep the origins.
	open  map[fleet.ServiceID]*openVersions
	keeps map[fleet.ServiceID]bool
	// tickedAt is the time of the last tick, resumedAt that of the last one after suspensionTime without any, or never.
	tickedAt, resumedAt time.Duration
	// pending holds the requests for the rest of a stream that wait for instances that keep origins.
	lastID  uint64
	pending map[uint64]*pendingOrigin
	keeping originKeeping
}

type pendingOrigin struct {
	call    *call
	askedAt time.Duration
	// unanswered is the number of instances that have not answered.
	unanswered int
	// readStore reports whether one that did not know the origin has looked for it in the store.
	readStore bool
}

// originAnswer is what an instance says of the origin of a stream.
type originAnswer struct {
	origin           versions.Origin
	known, readStore bool
}

func (s *streamState) init() {
	s.memory = versions.NewMemory(minOriginLife)
	s.open = make(map[fleet.ServiceID]*openVersions)
	s.keeps = make(map[fleet.ServiceID]bool)
	s.resumedAt = never
	s.pending = make(map[uint64]*pendingOrigin)
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

// findsOrigin finds what began the stream of which a request is to be the rest. It returns false if the request waits or
// was refused. The origin is what this instance or a keeper remembers, or follows from there being one version only.
func (r *Router) findsOrigin(c *call) bool {
	if !c.Resumes || !c.route.ResumableStream() && (c.route.Kind != routing.Streaming || r.streams.open[c.service] == nil) {
		return true
	}
	if origin, known := r.streams.memory.Lookup(r.now, c.Stream); known {
		r.originFound(c, origin, "memory")
		return true
	}
	if version, ok := r.onlyVersion(c.service); ok {
		r.originFound(c, versions.Origin{Service: c.service, Version: version}, "only_version")
		return true
	}
	return r.askOrigin(c)
}

// originFound fixes the version at which the stream of a request must go on.
func (r *Router) originFound(c *call, origin versions.Origin, source string) {
	c.origin = &origin
	r.logDecision(c, "stream_origin", "service", origin.Service, "version", origin.Version, "source", source)
}

// askOrigin asks the instances that keep the origin of a stream, of which this one may be one. It returns false.
func (r *Router) askOrigin(c *call) bool {
	if c.Stream == 0 {
		r.originUnknown(c, true)
		return false
	}
	partition := versions.PartitionOf(c.Stream)
	r.streams.lastID++
	id := r.streams.lastID
	pending := &pendingOrigin{call: c, askedAt: r.now}
	r.streams.pending[id] = pending
	for _, keeper := range r.keepers(partition) {
		pending.unanswered++
		if keeper == r.cfg.Instance {
			r.loadOrigins(partition, originQuestion{own: id, stream: c.Stream})
			continue
		}
		r.emit(SendMessage{To: keeper, Message: &wire.StreamOriginRequest{ID: id, Stream: uint64(c.Stream)}})
	}
	return false
}

// originUnknown refuses a request for the rest of a stream: joined to a part of another version, it would be damaged. Only
// if the origin could not be looked up may the caller have more success later.
func (r *Router) originUnknown(c *call, lookedUp bool) {
	retryAfter := unknownOriginRetryAfter
	if lookedUp {
		retryAfter = 0
	}
	r.refuse(c, NotRun, "stream_version_unknown", retryAfter)
}

// originAnswered lets a request go on with the first origin that an instance knows, and refuses it if none knows one.
func (r *Router) originAnswered(id uint64, a originAnswer) {
	p, ok := r.streams.pending[id]
	if !ok {
		return
	}
	p.unanswered--
	p.readStore = p.readStore || a.readStore
	if !a.known && p.unanswered > 0 {
		return
	}
	delete(r.streams.pending, id)
	switch {
	case r.calls[p.call.ID] != p.call:
		// The caller has left.
	case a.known:
		r.originFound(p.call, a.origin, "keeper")
		r.place(p.call)
	default:
		r.originUnknown(p.call, p.readStore)
	}
}

// tickStreams refuses the requests whose stream's origin no instance has named in time.
func (r *Router) tickStreams() {
	r.streams.tickedAt = r.now
	for _, id := range slices.Sorted(maps.Keys(r.streams.pending)) {
		p := r.streams.pending[id]
		version, only := r.onlyVersion(p.call.service)
		if !only && r.now-p.askedAt < originTimeout && !r.drainOver() {
			continue
		}
		delete(r.streams.pending, id)
		switch {
		case r.calls[p.call.ID] != p.call:
		case only:
			r.originFound(p.call, versions.Origin{Service: p.call.service, Version: version}, "only_version")
			r.place(p.call)
		default:
			r.originUnknown(p.call, p.readStore)
		}
	}
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
