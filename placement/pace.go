package placement

import (
	"math"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// The pace of an engine is the mean time between the events of its streams. Engines that turn slow without
// failing show it there at once and for every request, while the time to the first event also depends on
// whether the prompt is cached. An engine that is slower than the others gets a smaller part of the load, so
// that its requests still end in time.
//
// The pace figure of load reports (Load.PacePercent) is another measure: the engine's own, of its machine, valid for
// 300 ms. Forecasts use it, and the cost of short calls.

const (
	// paceWeight is the weight of one stream in an engine's moving mean.
	paceWeight = 0.2
	// paceLife is how long a pace is used after its last sample. An engine without samples gets its full load
	// again, and so new samples.
	paceLife = 4 * time.Second
	// paceTolerance is the multiple of the usual pace from which an engine counts as slow. Engines of a service
	// differ by nature.
	paceTolerance = 2.0
	// minPaced is the number of engines with a known pace from which there is a usual one.
	minPaced = 3
	// usualPaceInterval is the time between two computations of the usual pace.
	usualPaceInterval = 200 * time.Millisecond
	// minSpeedShare bounds the part of the load of a slow engine. It must get requests to show that it has
	// recovered.
	minSpeedShare = 0.1
)

// pace is the moving mean of the time between events.
type pace struct {
	mean      float64
	sampledAt time.Duration
}

func (q *pace) known(now time.Duration) bool { return q.mean > 0 && now-q.sampledAt < paceLife }

// add adds the mean of n samples.
func (q *pace) add(now time.Duration, sample float64, n int) {
	if !q.known(now) {
		q.mean = sample
	}
	q.mean += (1 - math.Pow(1-paceWeight, float64(n))) * (sample - q.mean)
	q.sampledAt = now
}

// RecordPace records the mean time between the events of n streams of an engine.
func (p *Pool) RecordPace(now time.Duration, engine fleet.EngineTag, gap time.Duration, n int) {
	if m := p.membersByTag[engine]; m != nil && gap > 0 && n > 0 {
		m.pace.add(now, float64(gap), n)
	}
}

// usualPace returns the median pace of the engines, or 0 if too few are known.
func (p *Pool) usualPace(now time.Duration) float64 {
	if p.usualPaceUntil > now {
		return p.usual
	}
	p.usualPaceUntil = now + usualPaceInterval
	p.paces = p.paces[:0]
	for _, m := range p.memberList {
		if m.pace.known(now) {
			p.paces = append(p.paces, m.pace.mean)
		}
	}
	p.usual = 0
	if len(p.paces) >= minPaced {
		slices.Sort(p.paces)
		p.usual = p.paces[(len(p.paces)-1)/2]
	}
	return p.usual
}

// speedShare returns the part of the usual load that an engine may carry: 1, or less if it is slow.
func (p *Pool) speedShare(now time.Duration, m *member) float64 {
	usual := p.usualPace(now)
	if usual == 0 || !m.pace.known(now) {
		return 1
	}
	return min(1, max(minSpeedShare, paceTolerance*usual/m.pace.mean))
}

// partOf returns the part of the usual load that an engine may carry in a pass.
func (p *Pool) partOf(now time.Duration, m *member, pass rankedPass) float64 {
	if !pass.bySpeed {
		return 1
	}
	return p.speedShare(now, m)
}

// loadBoundOf returns the load from which an engine is skipped in a key's order, given the pool's mean load.
func (p *Pool) loadBoundOf(now time.Duration, m *member, mean float64, pass rankedPass) int {
	return int(math.Ceil(p.config.LoadFactor*mean*p.partOf(now, m, pass))) + p.config.LoadSlack
}
