package platformsim

import (
	"context"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/platform"
)

// holding is a lease that is held until a time.
type holding struct {
	holder string
	fence  uint64
	until  time.Time
}

// Get implements platform.Store.
func (s *Sim) Get(ctx context.Context, key string) (platform.Entry, error) {
	var entry platform.Entry
	err := s.read(ctx, kindGet, func() error {
		entry = s.current(key)
		return absent(entry)
	})
	return entry, err
}

// CompareAndSwap implements platform.Store. It returns ErrTooLarge for values above
// platform.MaxValueBytes.
func (s *Sim) CompareAndSwap(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, ErrTooLarge
	}
	var revision uint64
	err := s.write(ctx, kindPut, func() error {
		if s.entries[key].Revision != expect {
			return platform.ErrConflict
		}
		revision = expect + 1
		s.entries[key] = platform.Entry{Value: slices.Clone(value), Revision: revision}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// Watch implements platform.Store. It waits for a revision other than after and returns
// the entry as it is at the end. An absent key gives an entry with revision 0 and no error.
func (s *Sim) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Entry, error) {
	var entry platform.Entry
	err := s.read(ctx, kindWatch, func() error {
		var err error
		entry, err = s.await(ctx, key, after, wait)
		return err
	})
	return entry, err
}

func (s *Sim) await(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Entry, error) {
	s.waiting(1)
	defer s.waiting(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		entry, changed, down := s.observe(key)
		if down {
			return platform.Entry{}, platform.ErrUnavailable
		}
		if entry.Revision != after {
			return entry, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return entry, nil
		case <-ctx.Done():
			return platform.Entry{}, unavailable(ctx)
		}
	}
}

func (s *Sim) waiting(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Waiting += change
}

func (s *Sim) observe(key string) (entry platform.Entry, changed <-chan struct{}, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copyOf(key), s.changed, s.down
}

func (s *Sim) current(key string) platform.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copyOf(key)
}

func (s *Sim) copyOf(key string) platform.Entry {
	entry := s.entries[key]
	entry.Value = slices.Clone(entry.Value)
	return entry
}

func absent(entry platform.Entry) error {
	if entry.Revision == 0 {
		return platform.ErrNotFound
	}
	return nil
}

// Acquire implements platform.Store. A renewal keeps the fencing number. Every other grant
// has a higher one, also a grant to the same holder after a lapse or a release.
func (s *Sim) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error) {
	var fence uint64
	err := s.write(ctx, kindLease, func() error {
		now := time.Now()
		held, ok := s.holders[name]
		lapsed := !ok || !now.Before(held.until)
		if !lapsed && held.holder != holder {
			return platform.ErrConflict
		}
		if lapsed {
			s.fences[name]++
		}
		fence = s.fences[name]
		s.holders[name] = holding{holder, fence, now.Add(ttl)}
		return nil
	})
	if err != nil {
		return platform.Lease{}, err
	}
	return platform.Lease{Name: name, Holder: holder, Fence: fence, TTL: ttl}, nil
}

// Release implements platform.Store. It returns platform.ErrConflict when fence or holder
// is not the current one.
func (s *Sim) Release(ctx context.Context, name, holder string, fence uint64) error {
	return s.write(ctx, kindLease, func() error {
		held, ok := s.holders[name]
		if !ok || held.holder != holder || held.fence != fence {
			return platform.ErrConflict
		}
		delete(s.holders, name)
		return nil
	})
}

// SetInstances sets the true list of instances. The served list follows after the lag.
func (s *Sim) SetInstances(list []platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Set(time.Now(), slices.Clone(list), maxListLag)
}

// Instances implements platform.Directory. The list is that of the lag ago.
func (s *Sim) Instances(context.Context) ([]platform.Instance, error) {
	if err := s.enter(kindList); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.list.At(time.Now().Add(-s.listLag))), nil
}
