package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// paceSums holds by engine the number of measured streams and the sum of the times between their events. In a
// large fleet an instance measures each engine every few seconds at most, so the instances tell each other.
type paceSums map[fleet.EngineTag]paceSum

type paceSum struct {
	streams int
	gaps    time.Duration
}

// maxReportedStreams bounds the streams that a peer may report for one engine. Larger numbers would overflow the sums.
const maxReportedStreams = 1 << 16

func (s *loadState) init() {
	s.ownPaces, s.rowPaces = make(paceSums), make(paceSums)
}

func (s paceSums) add(engine fleet.EngineTag, gap time.Duration, streams int) {
	sum := s[engine]
	s[engine] = paceSum{sum.streams + streams, sum.gaps + time.Duration(streams)*gap}
}

func (s paceSums) addReported(list []wire.EnginePace) {
	for _, p := range list {
		if p.Streams > 0 && p.Streams <= maxReportedStreams {
			s.add(p.Engine, microseconds(p.GapMicros), p.Streams)
		}
	}
}

// take returns the paces and empties the sums.
func (s paceSums) take() []wire.EnginePace {
	list := make([]wire.EnginePace, 0, len(s))
	for engine, sum := range s {
		micros := sum.gaps.Microseconds() / int64(sum.streams)
		list = append(list, wire.EnginePace{Engine: engine, Streams: sum.streams, GapMicros: uint32(min(micros, math.MaxUint32))})
	}
	clear(s)
	slices.SortFunc(list, func(a, b wire.EnginePace) int { return cmp.Compare(a.Engine, b.Engine) })
	return list
}

// recordPace records the mean time between the events of a stream, also for peers.
func (r *Router) recordPace(pool *servicePool, id fleet.EngineID, gap time.Duration) {
	if gap <= 0 {
		return
	}
	tag := fleet.TagOf(id)
	pool.engines.RecordPace(r.now, tag, gap, 1)
	if len(r.members.linked) > 0 {
		r.loads.ownPaces.add(tag, gap, 1)
	}
	if r.inGrid() {
		r.loads.rowPaces.add(tag, gap, 1)
	}
}

// pacesReceived records what peers have measured.
func (r *Router) pacesReceived(list []wire.EnginePace) {
	for _, p := range list {
		for _, pool := range r.pools {
			pool.engines.RecordPace(r.now, p.Engine, microseconds(p.GapMicros), p.Streams)
		}
	}
}

func microseconds(n uint32) time.Duration { return time.Duration(n) * time.Microsecond }
