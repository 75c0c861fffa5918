package router

import (
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// maxReportedCount bounds the requests that a peer may report for one engine. Larger counts would overflow the sums over
// all engines.
const maxReportedCount = 1 << 20

// reportedLoad is a load that a peer reported.
type reportedLoad struct {
	counts []wire.EngineCount
	// unread holds prompt tokens to be read, in units of wire.UnreadUnit.
	unread     []wire.EngineCount
	receivedAt time.Duration
}

func (l reportedLoad) fresh(now, life time.Duration) bool {
	return l.counts != nil && now-l.receivedAt < life
}

// readLoad returns the load that a peer reports. It leaves out counts that are negative or too large, with a log line for
// the first ones of a peer.
func (r *Router) readLoad(from fleet.InstanceID, p *peerState, running []wire.EngineCount, unread []byte) reportedLoad {
	load := reportedLoad{counts: running, unread: wire.UnpackUnread(running, unread), receivedAt: r.now}
	invalid := func(c wire.EngineCount) bool { return c.Count < 0 || c.Count > maxReportedCount }
	if i := slices.IndexFunc(running, invalid); i >= 0 {
		load.counts = slices.DeleteFunc(slices.Clone(running), invalid)
		if !p.invalidLoadLogged {
			p.invalidLoadLogged = true
			r.emit(Decision{Kind: "load_finding", Fields: []any{"peer", from, "engine_tag", running[i].Engine, "count", running[i].Count}})
		}
	}
	return load
}
