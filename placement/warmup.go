package placement

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/ratelimit"
)

// WarmUp bounds what this instance sends to an engine that is cold: one that has just started, or has become cold again.
type WarmUp struct {
	// Since and Until are the bounds of the warm-up. It ends at Until without a further call.
	Since, Until time.Duration
	// Rate is the number of requests a second that this instance may send, 0 for none. One can be saved up.
	Rate float64
	// From is the time before which this instance sends none, because another one may still have its share. Phase is
	// the part of a request, from 0 to 1, that has accrued then: the instances that serve an engine have different
	// ones, so that their requests don't arrive at once.
	From  time.Duration
	Phase float64
}

// warmUp is the state of a WarmUp.
type warmUp struct {
	WarmUp
	// tokens is nil while Rate is 0.
	tokens *ratelimit.Bucket
}

// SetWarmUp bounds the requests to an engine until its warm-up ends.
func (p *Pool) SetWarmUp(now time.Duration, id fleet.EngineID, w WarmUp) {
	m := p.members[id]
	if m == nil {
		return
	}
	if !m.warming(now) {
		m.warmUp = &warmUp{}
	}
	m.beginWarmUp(now)
	switch {
	case w.Rate <= 0:
		m.warmUp.tokens = nil
	case m.warmUp.tokens == nil:
		accrued := time.Duration(w.Phase / w.Rate * float64(time.Second))
		m.warmUp.tokens = ratelimit.NewBucket(max(now, w.From)-accrued, w.Rate, 1)
	default:
		m.warmUp.tokens.SetRate(now, w.Rate, 1)
	}
	m.warmUp.WarmUp = w
	p.totals.stale = true
}

// ClearWarmUp removes the bound that SetWarmUp has set.
func (p *Pool) ClearWarmUp(id fleet.EngineID) {
	if m := p.members[id]; m != nil && m.warmUp != nil {
		m.warmUp = nil
		p.totals.stale = true
	}
}

// beginWarmUp makes an engine that was started again, or that was cold when it joined, one that has joined with an empty
// cache.
func (m *member) beginWarmUp(now time.Duration) {
	if m.restarted || m.joinedAt == now {
		m.joinedAt, m.joinedBeforeFirstRequest, m.restarted, m.startedCold = now, false, false, true
	}
}

// warming reports whether an engine is cold.
func (m *member) warming(now time.Duration) bool { return m.warmUp != nil && now < m.warmUp.Until }

// warmUpAdmits reports whether the warm-up of an engine, if there is one, admits another request now.
func (m *member) warmUpAdmits(now time.Duration) bool {
	if !m.warming(now) {
		return true
	}
	return m.warmUp.tokens != nil && now >= m.warmUp.From && m.warmUp.tokens.Available(now)
}

// nextWarmUpToken returns the time until the warm-up of a cold engine admits a request of this instance. served is false
// if that is so only when the engine is warm.
func (m *member) nextWarmUpToken(now time.Duration) (wait time.Duration, served bool) {
	end := m.warmUp.Until - now
	if m.warmUp.tokens == nil {
		return end, false
	}
	begin := max(now, m.warmUp.From)
	next, ok := m.warmUp.tokens.NextToken(begin)
	return min(begin-now+next, end), ok
}

// NextWarmUpToken returns, for a request that no engine may get now, the time until the first cold engine may get one from
// this instance. found is false if no engine is left out for its warm-up, and served if this instance serves none of
// those before they are warm.
func (p *Pool) NextWarmUpToken(now time.Duration, request Request) (wait time.Duration, served, found bool) {
	for _, m := range p.memberList {
		if !m.warming(now) || !m.acceptsNew(now) || !request.permits(&m.Engine) {
			continue
		}
		next, ok := m.nextWarmUpToken(now)
		if m.limit != nil {
			limited, admits := m.limit.nextRequest(now)
			next, ok = max(next, limited), ok && admits
		}
		if !found || next < wait {
			wait = next
		}
		served, found = served || ok, true
	}
	return wait, served, found
}
