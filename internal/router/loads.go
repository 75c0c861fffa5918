package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// minGridInstances is the number of instances from which loads are exchanged in two hops. In smaller
	// fleets status reports carry them to every instance at least every 0.6 s.
	minGridInstances = 25
	// rowSumLifeIntervals is the number of intervals for which the sum of a row is valid.
	rowSumLifeIntervals = 3
)

// grid arranges the live instances in rows of about the square root of their number. An instance sends
// its own load to its row and the sum of its row to its column, so that every instance knows the load
// of the whole fleet after two hops with messages to few instances. Instances whose views of the fleet
// differ count some load twice or not at all until their views agree.
type grid struct {
	// ids lists the live instances sorted by ID; those at i*side to (i+1)*side-1 are row i.
	ids []fleet.InstanceID
	// side is the length of a row; in a fleet without a grid there is one row.
	rowLength int
	// self is the index of this instance in ids.
	self int
}

func newGrid(self fleet.InstanceID, peers []fleet.InstanceID) grid {
	ids := append(slices.Clone(peers), self)
	slices.Sort(ids)
	g := grid{ids: ids, rowLength: len(ids)}
	if len(ids) >= minGridInstances {
		g.rowLength = int(math.Ceil(math.Sqrt(float64(len(ids)))))
	}
	g.self, _ = slices.BinarySearch(ids, self)
	return g
}

// rows returns the number of rows.
func (g grid) rows() int { return (len(g.ids) + g.rowLength - 1) / g.rowLength }

// row returns the members of a row.
func (g grid) row(i int) []fleet.InstanceID {
	return g.ids[i*g.rowLength : min((i+1)*g.rowLength, len(g.ids))]
}

func (g grid) ownRow() int { return g.self / g.rowLength }

// rowPeers returns the other members of the instance's own row.
func (g grid) rowPeers() []fleet.InstanceID {
	return slices.DeleteFunc(slices.Clone(g.row(g.ownRow())), func(id fleet.InstanceID) bool { return id == g.ids[g.self] })
}

// sumTargets returns the instances of other rows to which this instance sends the sum of its row. The
// last row may be short: its members then send to several columns.
func (g grid) sumTargets() []fleet.InstanceID {
	length, column := len(g.row(g.ownRow())), g.self%g.rowLength
	var to []fleet.InstanceID
	for i := range g.rows() {
		if i == g.ownRow() {
			continue
		}
		for j, id := range g.row(i) {
			if j%length == column {
				to = append(to, id)
			}
		}
	}
	return to
}

// loadState is the state of the exchange of loads between instances.
type loadState struct {
	grid grid
	// poolsStale reports whether the pools lack the latest loads.
	poolsStale bool
	nextSend   time.Duration
	// ownPaces holds the paces of engines that this instance has measured since it last told them, rowPaces
	// those that it and the peers of its row have measured since it last told the other rows.
	ownPaces, rowPaces paceSums
}

// loadsReceived records the reported load of a peer or of its row.
func (r *Router) loadsReceived(from fleet.InstanceID, p *peerState, m *wire.Loads) {
	load := r.readLoad(from, p, m.Running, m.Unread)
	if m.IsRowSum {
		p.rowLoad = load
	} else {
		p.ownLoad = load
	}
	r.loads.poolsStale = true
	r.pacesReceived(m.Paces)
	if !m.IsRowSum {
		r.loads.rowPaces.addReported(m.Paces)
	}
}

// tickLoads sends the loads of this instance and of its row in a large fleet.
func (r *Router) tickLoads() {
	if r.now < r.loads.nextSend {
		return
	}
	r.rebuildGrid()
	if !r.inGrid() {
		r.loads.nextSend = r.now + statusReportInterval
		return
	}
	r.loads.nextSend = r.now + r.gridInterval()
	own, units := r.runningCounts(), r.unreadUnits()
	r.emit(SendToMany{To: r.loads.grid.rowPeers(), Message: &wire.Loads{Running: own, Paces: r.loads.ownPaces.take(), Unread: packUnread(own, units)}})
	row := r.rowSum()
	r.eachMemberLoad(r.loads.grid.row(r.loads.grid.ownRow()), func(load reportedLoad) { r.addUnreadUnits(units, load) })
	r.emit(SendToMany{To: r.loads.grid.sumTargets(), Message: &wire.Loads{IsRowSum: true, Running: row, Paces: r.loads.rowPaces.take(), Unread: packUnread(row, units)}})
}

// inGrid reports whether loads are exchanged in two hops.
func (r *Router) inGrid() bool { return len(r.loads.grid.ids) >= minGridInstances }

// gridInterval returns the time between two load messages in a large fleet.
func (r *Router) gridInterval() time.Duration {
	return max(minStatusReportInterval, time.Duration(2*r.loads.grid.rowLength)*perLinkInterval)
}

// rebuildGrid derives the grid from the live peers.
func (r *Router) rebuildGrid() {
	var live []fleet.InstanceID
	for id, p := range r.members.linked {
		if p.live(r.now) {
			live = append(live, id)
		}
	}
	r.loads.grid = newGrid(r.cfg.Instance, live)
	r.loads.poolsStale = true
}

// rowSum returns the load of this instance's row.
func (r *Router) rowSum() []wire.EngineCount {
	counts := make(map[fleet.EngineTag]int)
	addCounts(counts, r.runningCounts())
	r.eachMemberLoad(r.loads.grid.row(r.loads.grid.ownRow()), func(load reportedLoad) { addCounts(counts, load.counts) })
	sum := make([]wire.EngineCount, 0, len(counts))
	for tag, n := range counts {
		sum = append(sum, wire.EngineCount{Engine: tag, Count: n})
	}
	slices.SortFunc(sum, func(a, b wire.EngineCount) int { return cmp.Compare(a.Engine, b.Engine) })
	return sum
}

// updatePoolLoads sets the load of other instances in the pools.
func (r *Router) updatePoolLoads() {
	r.loads.poolsStale = false
	for _, pool := range r.pools {
		pool.engines.ResetAnnouncedUnread(r.now)
	}
	counts := make(map[fleet.EngineTag]int)
	r.eachPeerLoad(func(load reportedLoad) {
		addCounts(counts, load.counts)
		r.eachUnreadLeft(load, func(pool *servicePool, tag fleet.EngineTag, tokens int) { pool.engines.AddAnnouncedUnread(tag, tokens) })
	})
	for _, pool := range r.pools {
		pool.engines.SetAnnouncedCounts(counts)
	}
}

// eachPeerLoad calls visit with the loads that make up that of all other instances.
func (r *Router) eachPeerLoad(visit func(reportedLoad)) {
	r.eachMemberLoad(r.loads.grid.row(r.loads.grid.ownRow()), visit)
	for i := range r.loads.grid.rows() {
		if i != r.loads.grid.ownRow() {
			r.eachRowLoad(r.loads.grid.row(i), visit)
		}
	}
}

// eachRowLoad calls visit with the load of another row: the last sum that a member reported if it is still valid,
// otherwise the loads that the members reported for themselves.
func (r *Router) eachRowLoad(row []fleet.InstanceID, visit func(reportedLoad)) {
	var latest reportedLoad
	for _, id := range row {
		if p := r.members.linked[id]; p != nil && p.rowLoad.receivedAt >= latest.receivedAt {
			latest = p.rowLoad
		}
	}
	if latest.fresh(r.now, rowSumLifeIntervals*r.gridInterval()) {
		visit(latest)
		return
	}
	r.eachMemberLoad(row, visit)
}

// eachMemberLoad calls visit with the loads that the peers in a row last reported for themselves.
func (r *Router) eachMemberLoad(row []fleet.InstanceID, visit func(reportedLoad)) {
	for _, id := range row {
		p := r.members.linked[id]
		if p != nil && p.live(r.now) && p.ownLoad.fresh(r.now, max(rowSumLifeIntervals*r.gridInterval(), p.reportLifetime())) {
			visit(p.ownLoad)
		}
	}
}

func addCounts(counts map[fleet.EngineTag]int, reported []wire.EngineCount) {
	for _, c := range reported {
		counts[c.Engine] += c.Count
	}
}

// runningCounts returns the load that this instance runs, by engine.
func (r *Router) runningCounts() []wire.EngineCount {
	var counts []wire.EngineCount
	for _, pool := range r.pools {
		pool.engines.EachOwnCount(func(tag fleet.EngineTag, n int) {
			counts = append(counts, wire.EngineCount{Engine: tag, Count: n})
		})
	}
	return counts
}
