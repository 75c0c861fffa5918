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

// waiter is a request in the engine's queue. granted is closed when the request gets a slot.
type waiter struct {
	priority int
	arrival  uint64
	granted  chan struct{}
}

// before reports whether w goes before other: lower priority numbers first, then earlier arrivals.
func (w *waiter) before(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.arrival < other.arrival
}

// acquire takes a slot. If none is free, it waits in the queue, or returns errFull if the queue is
// full. It fails if ctx or the engine's incarnation ends first.
func (e *Engine) acquire(ctx, incarnationCtx context.Context, priority int) error {
	w, err := e.takeSlotOrEnqueue(priority)
	if w == nil {
		return err
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-incarnationCtx.Done():
		err = errCrashed
	}
	e.cancelWait(w)
	return err
}

// takeSlotOrEnqueue takes a free slot and returns nil, or returns a waiter in the queue, or errFull.
func (e *Engine) takeSlotOrEnqueue(priority int) (*waiter, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.recordLoad()
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

// cancelWait removes a waiter from the queue, or releases the slot that it was granted meanwhile.
func (e *Engine) cancelWait(w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.waiters, w); at >= 0 {
		e.waiters = slices.Delete(e.waiters, at, at+1)
		e.recordLoad()
		return
	}
	e.releaseSlot()
}

// releaseSlot gives a slot to the next waiter, or frees it if none waits. The caller holds the lock.
func (e *Engine) releaseSlot() {
	if len(e.waiters) > 0 {
		close(e.waiters[0].granted)
		e.waiters = e.waiters[1:]
	} else {
		e.running--
	}
	e.recordLoad()
}

// InFlight returns the current number of running requests, without the load lag.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *Engine) incarnationContext() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnationCtx
}

// sequence is a request that is being decoded.
type sequence struct {
	total    int
	produced int
	// wake holds a value if tokens were produced that the reader may not have seen.
	wake chan struct{}
}

// joinBatch adds a sequence of total tokens to the batch, of which produced tokens already exist.
// Without a token rate it produces all tokens at once.
func (e *Engine) joinBatch(produced, total int) *sequence {
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
	if !e.decoding && len(e.batch) > 0 {
		e.decoding = true
		go e.decodeLoop()
	}
	return s
}

// decodeLoop runs decoding steps until the batch is empty.
func (e *Engine) decodeLoop() {
	for {
		simutil.Sleep(context.Background(), e.stepTime())
		if !e.decodeStep() {
			return
		}
	}
}

// decodeStep produces one token for each sequence of the batch and reports whether any sequence is
// unfinished.
func (e *Engine) decodeStep() bool {
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
	e.decoding = len(e.batch) > 0
	return e.decoding
}

func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	seconds := e.faults.slowFactor / e.options.TokensPerSecond
	seconds *= 1 + e.options.BatchSlowdown*float64(len(e.batch))/float64(e.options.Slots)
	return time.Duration(seconds * float64(time.Second))
}

// producedTokens returns the number of tokens of a sequence that exist.
func (e *Engine) producedTokens(s *sequence) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.produced
}

// leaveBatch removes a sequence from the batch.
func (e *Engine) leaveBatch(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.batch, s)
}
