package placement

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/forecast"
)

// Load pattern: prompts of 12,000 tokens among prompts of 800. An engine reads a prompt in chunks between the tokens of
// other requests, and a short prompt waits for a long one before it. The number of requests does not show that, so the
// uncached tokens that are still to be read are counted too: from the sending of a request until its first event.

// unreadFloor is the share of this instance's own unread tokens that counts however long ago they were sent. Without a
// first event the engine may stand still.
const unreadFloor = 0.25

// unread holds the uncached prompt tokens that an engine is still to read, as far as this instance knows.
type unread struct {
	// own is the number of tokens of this instance's requests, and ownSent the sum of their times of sending in
	// seconds, each multiplied by the request's tokens.
	own     int
	ownSent float64
	// announced is the number of tokens that other instances announced and that were left at announcedAt.
	announced   float64
	announcedAt time.Duration
}

// left returns how many tokens are still to be read at a reading speed in tokens a second.
func (u *unread) left(now time.Duration, speed float64) int {
	left := max(0, u.announced-speed*(now-u.announcedAt).Seconds())
	if u.own > 0 {
		own := float64(u.own)
		left += max(unreadFloor*own, own-speed*(now.Seconds()-u.ownSent/own))
	}
	return int(left)
}

// Reading is what a choice expects of the reading of a prompt.
type Reading struct {
	// Tokens is the number of the prompt's tokens that the engine is believed to lack in its cache.
	Tokens int
	// State is the state of the engine at the choice.
	State forecast.State
	// Expected holds the expected times. Known reports whether there are any.
	Expected forecast.Times
	Known    bool
}

// ReadingStarted counts the tokens of a request that was sent to an engine as unread.
func (p *Pool) ReadingStarted(now time.Duration, id fleet.EngineID, key uint64, tokens int) {
	m := p.members[id]
	if m == nil || tokens <= 0 {
		return
	}
	m.unread.own += tokens
	m.unread.ownSent += float64(tokens) * now.Seconds()
	if key != 0 {
		p.readers.record(now, key, p.holderOf(id))
	}
}

// ReadingEnded ends the count of ReadingStarted for a request that was sent at a time.
func (p *Pool) ReadingEnded(sentAt time.Duration, id fleet.EngineID, tokens int) {
	m := p.counted(id)
	if m == nil || tokens <= 0 {
		return
	}
	m.unread.own -= tokens
	m.unread.ownSent -= float64(tokens) * sentAt.Seconds()
	if m.unread.own <= 0 {
		// What is left of the sum of the times is a rounding error.
		m.unread.own, m.unread.ownSent = 0, 0
	}
	p.forgetIdle(id)
}

// ReadingFailed records that an engine may not have read the prompt of a key that was sent to it.
func (p *Pool) ReadingFailed(id fleet.EngineID, key uint64) { p.readers.forget(key, id) }

// EachOwnUnread calls visit with each engine that is to read tokens of this instance's requests, and their number.
func (p *Pool) EachOwnUnread(visit func(tag fleet.EngineTag, tokens int)) {
	for _, m := range p.memberList {
		if m.unread.own > 0 {
			visit(m.tag, m.unread.own)
		}
	}
}

// ResetAnnouncedUnread forgets the unread tokens that other instances announced.
func (p *Pool) ResetAnnouncedUnread(now time.Duration) {
	for _, m := range p.memberList {
		m.unread.announced, m.unread.announcedAt = 0, now
	}
}

// ReadWithin returns how many tokens an engine of usual pace reads within a time, or 0 if that is unknown. A prompt is
// read in less time than passes between two announcements of unread tokens.
func (p *Pool) ReadWithin(age time.Duration) int { return int(p.readingSpeed() * age.Seconds()) }

// Has reports whether the pool has an engine.
func (p *Pool) Has(engine fleet.EngineTag) bool { return p.membersByTag[engine] != nil }

// AddAnnouncedUnread adds unread tokens at an engine to those that other instances announced. It ignores engines that the
// pool lacks.
func (p *Pool) AddAnnouncedUnread(engine fleet.EngineTag, tokens int) {
	if m := p.membersByTag[engine]; m != nil {
		m.unread.announced += float64(tokens)
	}
}

// readingSpeed returns the speed of engines of usual pace in tokens a second, or 0 if it is unknown.
func (p *Pool) readingSpeed() float64 {
	tokens, _ := p.model.Readable(time.Second)
	return float64(tokens)
}

// stateOf returns the state of an engine for forecasts.
func (p *Pool) stateOf(now time.Duration, m *member) forecast.State {
	s := forecast.State{Load: p.load(now, m), Slots: m.Slots, Pace: m.reportedPace(now)}
	speed := p.readingSpeed()
	if s.Pace > 0 {
		speed /= s.Pace
	}
	s.Unread = m.unread.left(now, speed)
	return s
}

// reportedPace returns the engine's pace figure as a multiple of the usual time, or 0 if it is unknown or too old.
func (m *member) reportedPace(now time.Duration) float64 {
	if now >= m.reportExpires {
		return 0
	}
	return m.report.PacePercent / 100
}

// uncached returns the number of a prompt's tokens that an engine is believed to lack in its cache: only those of the
// part that no other request shares if the engine has read the others, reads them now, or is the first one in the order
// and has been there for long enough.
func (p *Pool) uncached(now time.Duration, request Request, m *member) int {
	if request.Key == 0 {
		return request.Tokens.Prompt
	}
	if h, ok := p.holders.lookup(request.Key); ok && p.holderMember(h) == m {
		return request.Tokens.Own
	}
	if h, ok := p.readers.lookup(request.Key); ok && p.holderMember(h) == m {
		return request.Tokens.Own
	}
	if p.rankedMember(request.Key, 0) == m && p.established(now, m) {
		return request.Tokens.Own
	}
	return request.Tokens.Prompt
}

// readingAt returns what is expected of the reading of a prompt at an engine.
func (p *Pool) readingAt(now time.Duration, request Request, m *member) Reading {
	r := Reading{Tokens: p.uncached(now, request, m), State: p.stateOf(now, m)}
	r.Expected, r.Known = p.model.Expect(r.State, r.Tokens, request.Tokens.Output)
	return r
}

// RecordFirstEvent learns from the time to the first event of a request for which Choose expected a reading.
func (p *Pool) RecordFirstEvent(r Reading, took time.Duration) {
	p.model.RecordFirstEvent(r.State, r.State.Unread+r.Tokens, took)
}

// RecordEnd learns from the end of such a request: the tokens of its output, 0 if unknown, the time that they took after
// the first event, and the time of the whole request.
func (p *Pool) RecordEnd(r Reading, output int, outputTook, took time.Duration) {
	p.model.RecordEnd(r.State, output, outputTook, took)
}
