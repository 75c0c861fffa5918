package enginesim

import (
	"context"
	"time"
)

const (
	// EventStored means that the prefix of a chat is cached.
	EventStored = "stored"
	// EventEvicted means that the prefix of a chat is no longer cached.
	EventEvicted = "evicted"
	// maxEvents bounds the number of events that are kept. The older half is dropped when it is
	// exceeded, so that late readers miss those events.
	maxEvents = 10_000
)

// Event is one change of the prompt cache. Sequence numbers start at 1 in each
// incarnation; a missing number is an event that was dropped.
type Event struct {
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	// Chat is the value of the X-Chat-Key header of the request.
	Chat string `json:"chat"`
	at   time.Time
}

// recordEvent adds an event. A dropped event only uses up a sequence number. The caller holds the
// lock.
func (e *Engine) recordEvent(kind, chat string) {
	if chat == "" {
		return
	}
	e.eventSeq++
	if e.dropsEvent() {
		return
	}
	e.events = append(e.events, Event{e.eventSeq, kind, chat, time.Now()})
	if len(e.events) > maxEvents {
		e.events = append(e.events[:0], e.events[maxEvents/2:]...)
	}
	close(e.eventsChanged)
	e.eventsChanged = make(chan struct{})
}

func (e *Engine) dropsEvent() bool {
	if e.faults.dropEvents > 0 {
		e.faults.dropEvents--
		return true
	}
	return e.options.EventDrop > 0 && e.random.Float64() < e.options.EventDrop
}

// Events returns the events after a sequence number that are older than the event lag. If there
// are none, it waits for one for at most wait, or until ctx ends.
func (e *Engine) Events(ctx context.Context, after uint64, wait time.Duration) []Event {
	deadline := time.Now().Add(wait)
	for {
		found, untilNext, changed := e.visibleEvents(after)
		remaining := time.Until(deadline)
		if len(found) > 0 || remaining <= 0 {
			return found
		}
		if untilNext > 0 {
			remaining = min(remaining, untilNext)
		}
		timer := time.NewTimer(remaining)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		timer.Stop()
	}
}

// visibleEvents returns the events after a sequence number that are older than the event lag, the
// time until the next event becomes visible, or 0 if there is none, and a channel that is closed
// when an event is added.
func (e *Engine) visibleEvents(after uint64) (found []Event, untilNext time.Duration, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, event := range e.events {
		if event.Seq <= after {
			continue
		}
		if remainingLag := event.at.Add(e.options.EventLag).Sub(now); remainingLag > 0 {
			untilNext = remainingLag
			break
		}
		found = append(found, event)
	}
	return found, untilNext, e.eventsChanged
}
