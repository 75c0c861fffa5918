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
	// confirmationTimeout is how long instances are waited for before others are asked, confirmationPeers how many at a time.
	confirmationTimeout = 100 * time.Millisecond
	confirmationPeers   = 2
	// unknownOriginRetryAfter is the Retry-After of requests for the rest of a stream whose origin could not be looked up.
	unknownOriginRetryAfter = 300 * time.Millisecond
)

// originSearch is the search for the origin of a stream.
type originSearch struct {
	call    *call
	askedAt time.Duration
	// unanswered is the number of instances that have not answered.
	unanswered int
	// assumed is the version at which all open streams of the service began, as far as this instance knows, if only is set.
	assumed fleet.EngineVersion
	only    bool
	// confirmed reports whether another instance knows no other version either.
	confirmed bool
	// readStore reports whether an instance that did not know the origin has looked for it in the store.
	readStore bool
}

// originAnswer is what an instance says of the origin of a stream.
type originAnswer struct {
	origin                      versions.Origin
	known, confirmed, readStore bool
	// own is set for what this instance has found in the store itself.
	own bool
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
	version, only := r.onlyVersion(c.service)
	if only && r.alone() {
		r.originFound(c, versions.Origin{Service: c.service, Version: version}, "only_version")
		return true
	}
	r.searchOrigin(&originSearch{call: c, askedAt: r.now, assumed: version, only: only})
	return false
}

// alone reports whether there is no other instance that could know of a further version.
func (r *Router) alone() bool { return len(r.members.linked) == 0 && len(r.registeredInstances()) == 0 }

// originFound fixes the version at which the stream of a request must go on.
func (r *Router) originFound(c *call, origin versions.Origin, source string) {
	c.origin = &origin
	r.logDecision(c, "stream_origin", "service", origin.Service, "version", origin.Version, "source", source)
}

// searchOrigin asks the instances that keep the origin of a stream. This one, if it is one of them, reads the store. It does
// not if it knows one version only: then the others are asked whether they know another one, since streams may have
// begun at that within the time for which this instance's copy of the store counts as current.
func (r *Router) searchOrigin(s *originSearch) {
	partition := versions.PartitionOf(s.call.Stream)
	r.streams.lastID++
	id := r.streams.lastID
	r.streams.searches[id] = s
	if s.call.Stream == 0 && !s.only {
		// No keeper knows a stream without a name.
		s.readStore = true
		r.continueSearch(id, s)
		return
	}
	for _, keeper := range r.keepers(partition) {
		switch {
		case keeper != r.cfg.Instance:
			r.askOrigin(id, s, keeper)
		case !s.only || len(r.members.linked) == 0:
			s.unanswered++
			r.loadOrigins(partition, originQuestion{own: id, stream: s.call.Stream})
		}
	}
}

// askOrigin asks an instance for the origin of a stream.
func (r *Router) askOrigin(id uint64, s *originSearch, instance fleet.InstanceID) {
	s.unanswered++
	request := &wire.StreamOriginRequest{ID: id, Stream: uint64(s.call.Stream)}
	if s.only {
		request.Service, request.Version = s.call.service, s.assumed
	}
	r.emit(SendMessage{To: instance, Message: request})
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

// originAnswered lets a request go on with the first origin that an instance knows or confirms.
func (r *Router) originAnswered(id uint64, a originAnswer) {
	s, ok := r.streams.searches[id]
	if !ok {
		return
	}
	s.unanswered--
	s.readStore = s.readStore || a.readStore
	// Without a link to any other instance, the store shows that this one is not cut off.
	found := a.own && a.readStore && len(r.members.linked) == 0 && r.confirmsVersion(s.call.service, s.assumed)
	s.confirmed = s.confirmed || a.confirmed || found
	if a.known {
		r.endSearch(id, s, func() {
			r.originFound(s.call, a.origin, "keeper")
			r.place(s.call)
		})
		return
	}
	r.continueSearch(id, s)
}

// continueSearch ends a search whose result is known or can't be found any more.
func (r *Router) continueSearch(id uint64, s *originSearch) {
	version, only := r.onlyVersion(s.call.service)
	changed := only != s.only || version != s.assumed
	waited := r.now - s.askedAt
	awaitsNews := waited < originTimeout+resumptionTime && r.awaitsNews(s.call.service)
	over := waited >= originTimeout && !awaitsNews || r.drainOver()
	switch {
	case only && !changed && (s.confirmed || r.alone()):
		r.endSearch(id, s, func() {
			r.originFound(s.call, versions.Origin{Service: s.call.service, Version: version}, "only_version")
			r.place(s.call)
		})
	case over, !only && !changed && s.unanswered <= 0 && !awaitsNews:
		r.endSearch(id, s, func() { r.originUnknown(s.call, s.readStore && !only) })
	case changed:
		delete(r.streams.searches, id)
		r.searchOrigin(&originSearch{call: s.call, askedAt: s.askedAt, assumed: version, only: only})
	}
}

// endSearch ends a search and calls end, unless the caller has left.
func (r *Router) endSearch(id uint64, s *originSearch, end func()) {
	delete(r.streams.searches, id)
	if r.calls[s.call.ID] == s.call {
		end()
	}
}

// tickOriginSearches ends searches that take too long, and asks further instances to confirm the only version.
func (r *Router) tickOriginSearches() {
	for _, id := range slices.Sorted(maps.Keys(r.streams.searches)) {
		s := r.streams.searches[id]
		r.continueSearch(id, s)
		if r.streams.searches[id] == s && s.only && r.now-s.askedAt >= confirmationTimeout {
			r.askFurther(id, s)
		}
	}
}

// askFurther asks some more instances, because those that were asked first may be lost or not current.
func (r *Router) askFurther(id uint64, s *originSearch) {
	peers := r.linkedPeers()
	for range min(confirmationPeers, len(peers)) {
		r.askOrigin(id, s, peers[r.rng.IntN(len(peers))])
	}
}
