package placement

import "time"

// maxDetours is the number of engines after the first one that the forecast may choose instead. More spread copies of a
// prompt over the pool, of which each takes room in a cache and is read anew: in the comparison of docs/design/forecast.md
// seven changed the share of late short prompts by less than a point against two, with up to a tenth more copies.
const maxDetours = 2

// longShare is the part of the shortest target latency above which the reading of a prompt counts as long. Two such
// prompts at an engine use up the target of a short one behind them.
const longShare = 0.5

// SetShortestTarget sets the shortest target latency of the routes that use the pool; 0 if none has one.
func (p *Pool) SetShortestTarget(target time.Duration) { p.shortestTarget = target }

// usesForecast reports whether the forecast may choose another engine for a request in a pass. A pass without a bound on
// queues has no engine with a free slot. The shares of prompts that engines with rate limits keep stay as they are.
func (p *Pool) usesForecast(request Request, pass rankedPass) bool {
	return p.config.Forecast && request.Tokens.Prompt > 0 && request.TargetLeft > 0 && pass.byForecast
}

// fit tells what the forecast says of a request at an engine.
type fit struct {
	// onTime reports whether the first event is expected within the target.
	onTime bool
	// hasRoom reports whether a long prompt leaves the engine below the bound on unread tokens. It is true for others.
	hasRoom bool
}

func (p *Pool) fits(now time.Duration, request Request, m *member) fit {
	r := p.readingAt(now, request, m)
	if !r.Known {
		return fit{true, true}
	}
	f := fit{onTime: r.Expected.FirstEvent <= request.TargetLeft, hasRoom: true}
	within := time.Duration(longShare * float64(p.shortestTarget))
	if reading, ok := p.model.ReadingTime(r.Tokens); ok && within > 0 && reading > within {
		bound, _ := p.model.Readable(within)
		f.hasRoom = r.State.Unread < bound
	}
	return f
}

// fullShare is the part of the time left to the target within which a first event must be expected at a full engine. The
// wait for a slot is known less well than the reading: with all of the time, hot prompts of the comparison were late twice
// as often, because each waits until the target is just missed.
const fullShare = 0.5

// staysAtFull reports whether a request whose prompt is cached at the first engine of its order waits for a slot there,
// because its first event is expected in good time all the same. Elsewhere the prompt would be read again.
func (p *Pool) staysAtFull(now time.Duration, request Request, mean float64, pass rankedPass) bool {
	if len(p.memberList) == 0 {
		return false
	}
	m := p.rankedMember(request.Key, 0)
	load := p.load(now, m)
	if m.admitsLoad(load, 1) || !p.usable(now, m, request) || load >= p.loadBoundOf(now, m, mean, pass) || p.partOf(now, m, pass) < 1 {
		return false
	}
	if p.uncached(now, request, m) >= request.Tokens.Prompt {
		return false
	}
	r := p.readingAt(now, request, m)
	return r.Known && float64(r.Expected.FirstEvent) <= fullShare*float64(request.TargetLeft)
}

// preferByForecast returns the rank of the engine for a request of which chooseRanked would take the one with the given
// rank. That one is left only for another engine with a free slot that is expected to keep the target, or, by a long
// prompt, for one with fewer unread tokens. The others are tried in the key's order, so that a prompt which leaves its
// engine goes to the same second one each time and comes back when the first is free.
func (p *Pool) preferByForecast(now time.Duration, request Request, mean float64, pass rankedPass, rank int) int {
	first := p.fits(now, request, p.rankedMember(request.Key, rank))
	if first.onTime && first.hasRoom {
		return rank
	}
	withRoom := -1
	for next, tries := rank, 0; tries < maxDetours; tries++ {
		var ok bool
		if next, ok = p.admittedFrom(now, request, mean, pass, next+1); !ok {
			break
		}
		f := p.fits(now, request, p.rankedMember(request.Key, next))
		if f.onTime && f.hasRoom {
			return next
		}
		if withRoom < 0 && f.hasRoom {
			withRoom = next
		}
	}
	if !first.hasRoom && withRoom >= 0 {
		return withRoom
	}
	return rank
}

// paceFactor returns by how much the pace figure of an engine raises the cost of a short call. Engines that report no
// figure, or an old one, count as usual.
func (p *Pool) paceFactor(now time.Duration, m *member) float64 {
	if !p.config.Forecast {
		return 1
	}
	return max(1, m.reportedPace(now))
}
