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
	// gridFrom is the number of instances from which loads travel in two hops. Below, standings
	// tell them to every instance at least every 0.6 s.
	gridFrom = 25
	// sumLife is the number of intervals for which the sum of a row counts.
	sumLife = 3
)

// grid arranges the live instances in rows of about the square root of their number. An instance
// tells its row what it runs, and its column what its row runs, so that all know the load of the
// whole fleet after two messages to a few instances. Members whose views differ for a moment count
// some load twice or not at all until their views agree.
type grid struct {
	// ids are the live instances in order of ID; those at i*side to (i+1)*side-1 are row i.
	ids  []fleet.InstanceID
	side int
	// self is the position of this instance.
	self int
}

func newGrid(self fleet.InstanceID, peers []fleet.InstanceID) grid {
	ids := append(slices.Clone(peers), self)
	slices.Sort(ids)
	g := grid{ids: ids, side: len(ids)}
	if len(ids) >= gridFrom {
		g.side = int(math.Ceil(math.Sqrt(float64(len(ids)))))
	}
	g.self, _ = slices.BinarySearch(ids, self)
	return g
}

// rows returns the number of rows.
func (g grid) rows() int { return (len(g.ids) + g.side - 1) / g.side }

// row returns the members of a row.
func (g grid) row(i int) []fleet.InstanceID {
	return g.ids[i*g.side : min((i+1)*g.side, len(g.ids))]
}

func (g grid) ownRow() int { return g.self / g.side }

// rowPeers returns the other members of the instance's own row.
func (g grid) rowPeers() []fleet.InstanceID {
	return slices.DeleteFunc(slices.Clone(g.row(g.ownRow())), func(id fleet.InstanceID) bool { return id == g.ids[g.self] })
}

// sumTargets returns the instances of other rows to which this instance tells the sum of its row.
// The last row may be short: its members then serve several columns.
func (g grid) sumTargets() []fleet.InstanceID {
	length, column := len(g.row(g.ownRow())), g.self%g.side
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

// loadState is what the instance tells and knows of the loads of a large fleet.
type loadState struct {
	grid grid
	// stale tells that the pools don't have the latest loads yet.
	stale bool
	next  time.Duration
}

// toldLoad is a load that a peer told.
type toldLoad struct {
	counts []wire.EngineCount
	at     time.Duration
}

func (l toldLoad) fresh(now, life time.Duration) bool { return l.counts != nil && now-l.at < life }

// loadsReceived takes what a peer or its row runs.
func (r *Router) loadsReceived(p *peerState, m *wire.Loads) {
	told := toldLoad{counts: m.Running, at: r.now}
	if m.Row {
		p.row = told
	} else {
		p.own = told
	}
	r.loads.stale = true
}

// tickLoads tells the row and the column of a large fleet what runs.
func (r *Router) tickLoads() {
	if r.now < r.loads.next {
		return
	}
	r.arrange()
	if !r.inGrid() {
		r.loads.next = r.now + standingInterval
		return
	}
	r.loads.next = r.now + r.gridInterval()
	r.emit(SendToMany{To: r.loads.grid.rowPeers(), Message: &wire.Loads{Running: r.running()}})
	r.emit(SendToMany{To: r.loads.grid.sumTargets(), Message: &wire.Loads{Row: true, Running: r.rowSum()}})
}

// inGrid reports whether loads travel in two hops.
func (r *Router) inGrid() bool { return len(r.loads.grid.ids) >= gridFrom }

// gridInterval is the time between two tellings of loads in a large fleet.
func (r *Router) gridInterval() time.Duration {
	return max(busyInterval, time.Duration(2*r.loads.grid.side)*linkInterval)
}

// arrange derives the grid from the peers that are heard of.
func (r *Router) arrange() {
	var live []fleet.InstanceID
	for id, p := range r.members.linked {
		if p.live(r.now) {
			live = append(live, id)
		}
	}
	r.loads.grid = newGrid(r.cfg.Instance, live)
	r.loads.stale = true
}

// rowSum returns what the instances of the own row run.
func (r *Router) rowSum() []wire.EngineCount {
	counts := make(map[fleet.EngineTag]int)
	addCounts(counts, r.running())
	r.addMembers(counts, r.loads.grid.row(r.loads.grid.ownRow()))
	sum := make([]wire.EngineCount, 0, len(counts))
	for tag, n := range counts {
		sum = append(sum, wire.EngineCount{Engine: tag, Count: n})
	}
	slices.SortFunc(sum, func(a, b wire.EngineCount) int { return cmp.Compare(a.Engine, b.Engine) })
	return sum
}

// shareLoads gives the pools what other instances run.
func (r *Router) shareLoads() {
	r.loads.stale = false
	counts := make(map[fleet.EngineTag]int)
	r.addMembers(counts, r.loads.grid.row(r.loads.grid.ownRow()))
	for i := range r.loads.grid.rows() {
		if i != r.loads.grid.ownRow() {
			r.addRow(counts, r.loads.grid.row(i))
		}
	}
	for _, pool := range r.pools {
		pool.engines.SetOthers(counts)
	}
}

// addRow adds the load of another row: its sum, as told by the member that did so last, or what its
// members told of themselves.
func (r *Router) addRow(counts map[fleet.EngineTag]int, row []fleet.InstanceID) {
	var latest toldLoad
	for _, id := range row {
		if p := r.members.linked[id]; p != nil && p.row.at >= latest.at {
			latest = p.row
		}
	}
	if latest.fresh(r.now, sumLife*r.gridInterval()) {
		addCounts(counts, latest.counts)
		return
	}
	r.addMembers(counts, row)
}

// addMembers adds what the peers in a row last told of themselves.
func (r *Router) addMembers(counts map[fleet.EngineTag]int, row []fleet.InstanceID) {
	for _, id := range row {
		p := r.members.linked[id]
		if p != nil && p.live(r.now) && p.own.fresh(r.now, max(sumLife*r.gridInterval(), p.life())) {
			addCounts(counts, p.own.counts)
		}
	}
}

func addCounts(counts map[fleet.EngineTag]int, told []wire.EngineCount) {
	for _, c := range told {
		counts[c.Engine] += c.Count
	}
}

// running returns what this instance runs.
func (r *Router) running() []wire.EngineCount {
	var counts []wire.EngineCount
	for _, pool := range r.pools {
		pool.engines.OwnCounts(func(tag fleet.EngineTag, n int) {
			counts = append(counts, wire.EngineCount{Engine: tag, Count: n})
		})
	}
	return counts
}
