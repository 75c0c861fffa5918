package crashcause

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// answer is when the latest answered requests with a trait were sent: of this instance and, as far as
// instances have told each other, of the fleet. A time that is not known is negative.
type answer struct {
	own, announced time.Duration
}

func (a answer) latest() time.Duration { return max(a.own, a.announced) }

// unanswered is the answer of a trait with which no request was answered.
var unanswered = answer{own: -1, announced: -1}

// answerLog remembers the answered traits for between one and two lifetimes, in two generations, of
// which the older one is dropped as a whole. A full generation ends early.
type answerLog struct {
	capacity        int
	lifetime        time.Duration
	current, former map[fleet.Fingerprint]answer
	startedAt       time.Duration
}

func newAnswerLog(capacity int, lifetime time.Duration) answerLog {
	return answerLog{capacity: capacity, lifetime: lifetime, current: make(map[fleet.Fingerprint]answer)}
}

func (l *answerLog) get(trait fleet.Fingerprint) answer {
	if a, ok := l.current[trait]; ok {
		return a
	}
	if a, ok := l.former[trait]; ok {
		return a
	}
	return unanswered
}

func (l *answerLog) set(now time.Duration, trait fleet.Fingerprint, a answer) {
	if now-l.startedAt >= l.lifetime || len(l.current) >= l.capacity {
		l.former, l.current = l.current, make(map[fleet.Fingerprint]answer)
		l.startedAt = now
	}
	l.current[trait] = a
}

// own records that a request of this instance was answered.
func (l *answerLog) own(now time.Duration, trait fleet.Fingerprint, sentAt time.Duration) {
	a := l.get(trait)
	a.own = max(a.own, sentAt)
	l.set(now, trait, a)
}

// others records an answer that another instance announced.
func (l *answerLog) others(now time.Duration, trait fleet.Fingerprint, sentAt time.Duration) {
	a := l.get(trait)
	a.announced = max(a.announced, sentAt)
	l.set(now, trait, a)
}
