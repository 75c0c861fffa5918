package daemon

import (
	"context"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/core"
)

// eventQueueSize is the number of events that can wait for the reducer. post blocks when the
// queue is full, which bounds memory under overload.
const eventQueueSize = 8192

// loop passes events to the reducer one at a time and carries out its effects.
type loop struct {
	core    *core.Core
	events  chan core.Event
	start   time.Time
	execute func(core.Effect)
	// done is closed when run returns, so that post doesn't block after that.
	done chan struct{}
}

func newLoop(c *core.Core, execute func(core.Effect)) *loop {
	return &loop{
		core:    c,
		events:  make(chan core.Event, eventQueueSize),
		start:   time.Now(),
		execute: execute,
		done:    make(chan struct{}),
	}
}

// post queues an event. It must not be called from execute: that runs on the loop's goroutine,
// which would wait for itself when the queue is full.
func (l *loop) post(ev core.Event) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// inspect queues a function that reads the reducer's state. It runs on the loop's goroutine after
// the events that are queued already.
func (l *loop) inspect(f func(*core.Core)) { l.post(inspection{run: f}) }

// inspection is a queued call of inspect. It embeds core.Tick to be a core.Event, as the queue
// requires. The loop runs it and does not pass it to the reducer.
type inspection struct {
	core.Tick
	run func(*core.Core)
}

// now returns the time that is passed with an event. time.Since uses the monotonic clock.
func (l *loop) now() core.Instant {
	return core.Instant{Mono: time.Since(l.start), Wall: time.Now()}
}

// run processes events until ctx ends.
func (l *loop) run(ctx context.Context, tick time.Duration) {
	defer close(l.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			l.step(ev)
		case <-ticker.C:
			l.step(core.Tick{})
		}
	}
}

// step runs an inspection, or passes an event to the reducer and carries out its effects.
func (l *loop) step(ev core.Event) {
	if i, ok := ev.(inspection); ok {
		i.run(l.core)
		return
	}
	for _, effect := range l.core.Step(l.now(), ev) {
		l.execute(effect)
	}
}
