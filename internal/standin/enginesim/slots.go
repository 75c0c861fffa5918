package enginesim

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

var (
	errFull    = errors.New("all slots are busy")
	errCrashed = errors.New("engine crashed")
)

// waiter is a request in the engine's own queue.
type waiter struct {
	priority int
	arrival  uint64
	granted  chan struct{}
}

// before orders waiters: lower priority numbers first, then earlier arrivals.
func (w *waiter) before(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.arrival < other.arrival
}

// acquire takes a slot, waiting in the queue when there is room in it. It fails when ctx or
// the engine's life ends first.
func (e *Engine) acquire(ctx, life context.Context, priority int) error {
	w, err := e.enqueue(priority)
	if w == nil {
		return err
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-life.Done():
		err = errCrashed
	}
	e.abandon(w)
	return err
}

// enqueue takes a free slot, or returns a waiter, or errFull.
func (e *Engine) enqueue(priority int) (*waiter, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.noteLoad()
	if e.running < e.options.Slots {
		e.running++
		return nil, nil
	}
	if len(e.waiters) >= e.options.Queue {
		return nil, errFull
	}
	e.arrivals++
	w := &waiter{priority, e.arrivals, make(chan struct{})}
	at := slices.IndexFunc(e.waiters, w.before)
	if at < 0 {
		at = len(e.waiters)
	}
	e.waiters = slices.Insert(e.waiters, at, w)
	return w, nil
}

// abandon removes a waiter from the queue, or gives back the slot it was granted meanwhile.
func (e *Engine) abandon(w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.waiters, w); at >= 0 {
		e.waiters = slices.Delete(e.waiters, at, at+1)
		e.noteLoad()
		return
	}
	e.passOn()
}

// passOn gives a slot to the next waiter or frees it. The caller holds the lock.
func (e *Engine) passOn() {
	if len(e.waiters) > 0 {
		close(e.waiters[0].granted)
		e.waiters = e.waiters[1:]
	} else {
		e.running--
	}
	e.noteLoad()
}

// InFlight returns the number of requests that run now, without the load lag.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *Engine) lifetime() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// sequence is a request that is being decoded.
type sequence struct {
	total    int
	produced int
	// wake holds a value when tokens were produced that the reader may not have seen.
	wake chan struct{}
}

// join adds a sequence of which produced tokens of total exist to the batch.
func (e *Engine) join(produced, total int) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &sequence{total: total, produced: produced, wake: make(chan struct{}, 1)}
	if e.options.TokensPerSecond <= 0 {
		s.produced = total
	}
	if s.produced < s.total {
		e.batch[s] = true
	}
	s.wake <- struct{}{}
	if !e.stepping && len(e.batch) > 0 {
		e.stepping = true
		go e.steps()
	}
	return s
}

// steps decodes until the batch is empty.
func (e *Engine) steps() {
	for {
		simutil.Sleep(context.Background(), e.stepTime())
		if !e.step() {
			return
		}
	}
}

// step produces one token for each sequence and reports whether any is left.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.batch {
		s.produced++
		if s.produced >= s.total {
			delete(e.batch, s)
		}
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	e.stepping = len(e.batch) > 0
	return e.stepping
}

func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	seconds := e.faults.slow / e.options.TokensPerSecond
	seconds *= 1 + e.options.BatchSlowdown*float64(len(e.batch))/float64(e.options.Slots)
	return time.Duration(seconds * float64(time.Second))
}

// producedOf returns how many tokens of a sequence exist.
func (e *Engine) producedOf(s *sequence) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.produced
}

// leave removes a sequence from the batch.
func (e *Engine) leave(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.batch, s)
}
