// Package platformsim is a stand-in for the platform: a key-value service with
// compare-and-swap, leases and watches, and a list of instances.
//
// Sim implements platform.Store and platform.Directory for use in one process. Handler
// serves the same Sim over HTTP, with the same faults and rates.
package platformsim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

const (
	// DefaultWrites is the stated rate of writes, leases included, per second.
	DefaultWrites = 300
	// DefaultReads is the stated rate of reads, watches and lists included, per second.
	DefaultReads = 2000
	// maxListLag is how long old instance lists are kept.
	maxListLag = 5 * time.Minute
)

// ErrRate reports a call above the stated rate. It wraps platform.ErrUnavailable.
var ErrRate = fmt.Errorf("rate exceeded: %w", platform.ErrUnavailable)

// ErrTooLarge reports a value above platform.MaxValueBytes.
var ErrTooLarge = errors.New("platform: value too large")

// Options are the stated rates. Zero means the default, a negative rate has no limit.
type Options struct {
	WritesPerSecond int
	ReadsPerSecond  int
}

// Sim is the state of the platform. It is safe for concurrent use.
type Sim struct {
	mu      sync.Mutex
	options Options
	entries map[string]platform.Entry
	holders map[string]holding
	fences  map[string]uint64
	list    simutil.Lagged[[]platform.Instance]
	counts  Counts
	reads   window
	writes  window
	// changed is closed and replaced with each change that a watch may wait for.
	changed chan struct{}

	down     bool
	listDown bool
	slow     time.Duration
	listLag  time.Duration
	losses   losses
}

var (
	_ platform.Store     = (*Sim)(nil)
	_ platform.Directory = (*Sim)(nil)
)

// New returns a platform without keys, leases and instances.
func New(options Options) *Sim {
	options.WritesPerSecond = rate(options.WritesPerSecond, DefaultWrites)
	options.ReadsPerSecond = rate(options.ReadsPerSecond, DefaultReads)
	return &Sim{
		options: options,
		entries: map[string]platform.Entry{},
		holders: map[string]holding{},
		fences:  map[string]uint64{},
		changed: make(chan struct{}),
		losses:  newLosses(LoseAnswers{}),
	}
}

func rate(stated, standard int) int {
	switch {
	case stated == 0:
		return standard
	case stated < 0:
		return int(^uint(0) >> 1)
	}
	return stated
}

// wake wakes all watches. The caller holds the lock.
func (s *Sim) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// enter counts a call and refuses it when the service is down or over its rate.
func (s *Sim) enter(k kind) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable(k) {
		s.counts.Unavailable.add(k)
		return platform.ErrUnavailable
	}
	now := time.Now()
	taken, ok := s.take(k, now)
	if !ok {
		s.counts.Refused.add(k)
		return ErrRate
	}
	s.notePeak(k, taken)
	s.counts.add(k)
	return nil
}

func (s *Sim) unavailable(k kind) bool {
	if k == kindList {
		return s.listDown
	}
	return s.down
}

func (s *Sim) take(k kind, now time.Time) (int, bool) {
	if k.writes() {
		return s.writes.take(now, s.options.WritesPerSecond)
	}
	return s.reads.take(now, s.options.ReadsPerSecond)
}

func (s *Sim) notePeak(k kind, taken int) {
	if k.writes() {
		s.counts.PeakWrites = max(s.counts.PeakWrites, taken)
		return
	}
	s.counts.PeakReads = max(s.counts.PeakReads, taken)
}

// pause waits for half of the set delay. Half of it passes before the effect of a call and
// half after it, so that a caller's timeout leaves the outcome open.
func (s *Sim) pause(ctx context.Context) bool {
	s.mu.Lock()
	delay := s.slow / 2
	s.mu.Unlock()
	return simutil.Sleep(ctx, delay)
}

// read runs a read between the two delays.
func (s *Sim) read(ctx context.Context, k kind, effect func() error) error {
	if err := s.enter(k); err != nil {
		return err
	}
	if !s.pause(ctx) {
		return unavailable(ctx)
	}
	err := effect()
	if !s.pause(ctx) {
		return unavailable(ctx)
	}
	return err
}

// write runs a write between the two delays and loses its answer if a fault says so. Only
// the answer of a write that took effect is lost.
func (s *Sim) write(ctx context.Context, k kind, effect func() error) error {
	if err := s.enter(k); err != nil {
		return err
	}
	if !s.pause(ctx) {
		return unknown(ctx)
	}
	err := s.effect(effect)
	if !s.pause(ctx) {
		return unknown(ctx)
	}
	return err
}

// effect runs a write under the lock. The service may have gone down during the delay.
func (s *Sim) effect(effect func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.ErrUnavailable
	}
	if err := effect(); err != nil {
		if errors.Is(err, platform.ErrConflict) {
			s.counts.Conflicts++
		}
		return err
	}
	s.wake()
	if s.losses.next() {
		s.counts.LostAnswers++
		return platform.ErrUnknown
	}
	return nil
}

func unavailable(ctx context.Context) error {
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
}

func unknown(ctx context.Context) error {
	return fmt.Errorf("%w: %w", platform.ErrUnknown, ctx.Err())
}
