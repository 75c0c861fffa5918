package daemon

import (
	"context"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/core"
)

// eventQueue is the number of events that can wait for the reducer. A full queue delays
// the senders, which bounds memory under overload.
const eventQueue = 8192

// loop feeds events to the reducer one at a time and carries out its effects.
type loop struct {
	core    *core.Core
	events  chan core.Event
	start   time.Time
	execute func(core.Effect)
	done    chan struct{}
}

func newLoop(c *core.Core, execute func(core.Effect)) *loop {
	return &loop{
		core:    c,
		events:  make(chan core.Event, eventQueue),
		start:   time.Now(),
		execute: execute,
		done:    make(chan struct{}),
	}
}

// post queues an event. It must not be called from execute, which runs on the loop's goroutine.
func (l *loop) post(ev core.Event) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// inspect runs a function on the loop's goroutine after the events that are queued.
func (l *loop) inspect(f func(*core.Core)) { l.post(inspection{run: f}) }

// inspection is an event of the shell that the reducer doesn't see.
type inspection struct {
	core.Tick
	run func(*core.Core)
}

// now returns the time of an event. time.Since uses the monotonic clock.
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

func (l *loop) step(ev core.Event) {
	if i, ok := ev.(inspection); ok {
		i.run(l.core)
		return
	}
	for _, effect := range l.core.Step(l.now(), ev) {
		l.execute(effect)
	}
}
