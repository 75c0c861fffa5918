package placement

import (
	"slices"
	"time"
)

// Reasons for which a request passes over an engine. An engine that is excluded can't get the request now. One that is
// skipped gets it if no other engine is better.
const (
	// ExcludedTried engines have had the request already.
	ExcludedTried = "tried"
	// ExcludedVersion engines run another version than the one that began the stream, or one at which none may begin yet.
	ExcludedVersion = "version"
	// ExcludedRecentlyPaused engines have not succeeded since their last pause, and the request can't be sent twice.
	ExcludedRecentlyPaused = "recently_paused"
	// ExcludedLost engines lost their last connection, and another engine runs the request.
	ExcludedLost = "lost"
	// ExcludedAsked engines have a rate limit that another instance enforces, which was asked often enough.
	ExcludedAsked = "asked"

	// SkipUnusable engines are excluded.
	SkipUnusable = "unusable"
	// SkipLoaded engines have reached the pool's load bound.
	SkipLoaded = "loaded"
	// SkipFull engines have no free slot.
	SkipFull = "full"
	// SkipSlow engines have reached a bound that is lower for them because they are slow.
	SkipSlow = "slow"
	// SkipNotKept engines have a rate limit and serve other prompts.
	SkipNotKept = "not_kept"
	// SkipLate engines are expected to miss the target latency.
	SkipLate = "late"
	// SkipUnread engines have too many unread tokens for a long prompt.
	SkipUnread = "unread"
)

// Candidate is an engine as the choice for a request sees it.
type Candidate struct {
	Engine Engine
	// Rank is the engine's place in the order of the request's cache key, from 1; 0 without a key.
	Rank int
	// Load is the estimated load, and LoadBound the load from which the engine is skipped, 0 without a key.
	Load, LoadBound int
	// Cost is the expected wait relative to an idle engine, by which requests without a key are placed.
	Cost float64
	// Reading is what is expected of the reading of the prompt, if the request names its tokens.
	Reading Reading
	// Excluded lists why the engine can't get the request, in words of Hold and Excluded. Skipped is why the first
	// search passes over it, or empty.
	Excluded []string
	Skipped  string
}

// Candidates returns the engines of the pool as Choose would see them now, in the order of the request's cache key or
// else of the pool, and the mean load. Like Choose it counts the request at the engine that has it first, so that it is
// to be called on a clone.
func (p *Pool) Candidates(now time.Duration, request Request) ([]Candidate, float64) {
	mean := p.mean(now)
	p.rankedChoices = p.rankedChoices[:0]
	pass := passesOf(p.hasLimits())[0]
	if request.Key != 0 && p.hasLimits() {
		p.countFirst(now, request)
	}
	list := make([]Candidate, 0, len(p.memberList))
	for i, m := range p.memberList {
		c := Candidate{}
		if request.Key != 0 {
			m = p.rankedMember(request.Key, i)
			c.Rank, c.LoadBound = i+1, p.loadBoundOf(now, m, mean, pass)
			c.Skipped = p.explainSkip(now, request, m, mean, pass)
		} else {
			c.Cost = p.cost(now, m, request)
		}
		if request.Tokens.Prompt > 0 {
			c.Reading = p.readingAt(now, request, m)
		}
		c.Engine, c.Load, c.Excluded = m.Engine, p.load(now, m), p.exclusions(now, m, request)
		list = append(list, c)
	}
	return list, mean
}

// explainSkip returns why a pass leaves out an engine that is usable, or an empty string.
func (p *Pool) explainSkip(now time.Duration, request Request, m *member, mean float64, pass rankedPass) string {
	reason := p.skip(now, request, m, mean, pass)
	switch {
	case reason == SkipUnusable:
		return ""
	case (reason == SkipLoaded || reason == SkipFull) && pass.bySpeed:
		usual := pass
		usual.bySpeed = false
		if p.skip(now, request, m, mean, usual) == "" {
			return SkipSlow
		}
	case reason == "" && p.usesForecast(request, pass):
		switch f := p.fits(now, request, m); {
		case !f.hasRoom:
			return SkipUnread
		case !f.onTime:
			return SkipLate
		}
	}
	return reason
}

// exclusions returns all reasons for which usable is false.
func (p *Pool) exclusions(now time.Duration, m *member, request Request) []string {
	var list []string
	for _, hold := range p.Holds(now, m.ID) {
		if !hold.Admits {
			list = append(list, hold.Reason)
		}
	}
	if m.health.admits(now, false) && !m.health.admits(now, request.AvoidRecentlyPaused) {
		list = append(list, ExcludedRecentlyPaused)
	}
	if request.AvoidLost && m.health.isLost(now) {
		list = append(list, ExcludedLost)
	}
	if slices.Contains(request.Exclude, m.ID) {
		list = append(list, ExcludedTried)
	}
	if !request.permitsVersion(&m.Engine) {
		list = append(list, ExcludedVersion)
	}
	if m.limitAdmits(now, false) && !m.limitAdmits(now, request.AvoidAsking) {
		list = append(list, ExcludedAsked)
	}
	return list
}
