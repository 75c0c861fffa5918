package placement

import "time"

// loadTotals is the sum of the loads of the engines in service, kept up to date at each change: the mean is needed for
// every choice, and a sum over 1,600 engines costs more than the rest of a choice.
type loadTotals struct {
	// stale is set while the sums must be computed anew, because engines, rate limits or warm-ups have changed.
	stale bool
	// warmUpEnds is when the first warm-up ends that the sums leave out; 0 without one.
	warmUpEnds           time.Duration
	sum, n               int
	limitedSum, limitedN int
	// inService is the number of engines in service.
	inService int
	// limiting is the number of engines with a rate limit that does not end, without evacuated ones.
	limiting int
	// now is the time as of which the loads are counted.
	now time.Duration
	// reports lists the expiries of load reports, in order. The first expired entries were removed.
	reports []reportExpiry
}

// reportExpiry is when a member's load report expires, unless a later one has replaced it.
type reportExpiry struct {
	m  *member
	at time.Duration
}

// add adds a member's counted load to the sums, or removes it with a sign of -1.
func (t *loadTotals) add(m *member, sign int) {
	if m.inService() {
		t.inService += sign
	}
	switch {
	case m.Draining:
	case m.limit != nil || m.countedCold:
		t.limitedSum += sign * m.countedLoad
		t.limitedN += sign
	default:
		t.sum += sign * m.countedLoad
		t.n += sign
	}
}

// loadChanged brings the sums up to date with the load of a member. Those that have left the pool are not counted.
func (p *Pool) loadChanged(m *member) {
	if p.totals.stale || p.members[m.ID] != m {
		return
	}
	p.totals.add(m, -1)
	m.countedLoad = p.load(p.totals.now, m)
	p.totals.add(m, 1)
}

// reportReceived keeps the sums up to date with a new load report of a member, and with its expiry.
func (p *Pool) reportReceived(now time.Duration, m *member) {
	p.expireReports(now)
	p.totals.reports = append(p.totals.reports, reportExpiry{m, m.reportExpires})
	p.loadChanged(m)
}

// mean returns the mean load of the engines that are not draining. Evacuated engines count: the highest load that an engine
// may have is a multiple of the mean of its whole service, which they lower. Engines with a rate limit and cold ones count
// only if there are no others: they carry less than the others, which must be able to carry more.
func (p *Pool) mean(now time.Duration) float64 {
	p.expireReports(now)
	if p.totals.warmUpEnds > 0 && now >= p.totals.warmUpEnds {
		p.totals.stale = true
	}
	p.sumLoads()
	t := &p.totals
	sum, n := t.sum, t.n
	if n == 0 {
		sum, n = t.limitedSum, t.limitedN
	}
	if n == 0 {
		return 0
	}
	return float64(sum) / float64(n)
}

// expireReports brings the loads up to date whose reports have expired.
func (p *Pool) expireReports(now time.Duration) {
	p.totals.now = now
	expired := 0
	for _, e := range p.totals.reports {
		if now < e.at {
			break
		}
		expired++
		p.loadChanged(e.m)
	}
	p.totals.reports = p.totals.reports[expired:]
}

// sumLoads computes the sums anew if they are stale.
func (p *Pool) sumLoads() {
	if !p.totals.stale {
		return
	}
	p.totals = loadTotals{now: p.totals.now, reports: p.totals.reports}
	for _, m := range p.memberList {
		m.countedLoad = p.load(p.totals.now, m)
		if m.countedCold = m.warming(p.totals.now); m.countedCold && (p.totals.warmUpEnds == 0 || m.warmUp.Until < p.totals.warmUpEnds) {
			p.totals.warmUpEnds = m.warmUp.Until
		}
		p.totals.add(m, 1)
		if m.limited() && !m.Evacuated {
			p.totals.limiting++
		}
	}
}

// hasLimits reports whether an engine of the pool has a rate limit. Evacuated engines carry nothing with or without one.
func (p *Pool) hasLimits() bool {
	p.sumLoads()
	return p.totals.limiting > 0
}
