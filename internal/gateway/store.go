package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/router"
	"github.com/bilberrywell/bilberrywell/retry"
)

const (
	// storeBackoffBase and storeBackoffMax bound the pauses between calls to a store that fails. The
	// required bounds for drains and configurations leave about two seconds.
	storeBackoffBase = 50 * time.Millisecond
	storeBackoffMax  = 500 * time.Millisecond
	// startPause follows the first list of a process. Links to the watchers are up within 0.8 s of a
	// start. Without the pause, each of many instances that start together would make charged calls of
	// its own until then.
	startPause = 750 * time.Millisecond
)

// watchSwitch turns the reading of changes on and off. Create it with newWatchSwitch.
type watchSwitch struct {
	mu sync.Mutex
	// pace holds whether reading is on, and the intervals between calls.
	pace   router.WatchStore
	cancel context.CancelFunc
	wake   chan struct{}
}

func newWatchSwitch() *watchSwitch { return &watchSwitch{wake: make(chan struct{}, 1)} }

func (s *watchSwitch) set(pace router.WatchStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace = pace
	if !pace.On && s.cancel != nil {
		s.cancel()
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// restart ends the running call for changes. The keys are then listed again.
func (s *watchSwitch) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

func (s *watchSwitch) current() router.WatchStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace
}

// await waits until reading is on. It returns a context that ends when reading is turned off, or false
// if ctx ends first.
func (s *watchSwitch) await(ctx context.Context) (context.Context, bool) {
	for ctx.Err() == nil {
		s.mu.Lock()
		if s.pace.On {
			child, cancel := context.WithCancel(ctx)
			s.cancel = cancel
			s.mu.Unlock()
			return child, true
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-s.wake:
		}
	}
	return nil, false
}

// watchStore reads keys and their changes while the router requests it.
func (g *Gateway) watchStore() {
	for {
		ctx, ok := g.storeWatch.await(g.ctx)
		if !ok {
			return
		}
		g.followStore(ctx)
	}
}

// followStore lists all keys and then waits for changes, until ctx ends.
func (g *Gateway) followStore(ctx context.Context) {
	backoff := retry.Backoff{Base: storeBackoffBase, Max: storeBackoffMax}
	rng := rand.New(rand.NewPCG(g.incarnation, 1))
	var revision uint64
	listed := false
	// relists counts the lists since changes could last be read.
	relists := 0
	for ctx.Err() == nil {
		var err error
		if !listed {
			revision, err = g.listKeys(ctx)
			listed = err == nil
			if listed && !g.listedOnce {
				g.listedOnce = true
				sleepContext(ctx, startPause)
			}
		} else {
			if revision, err = g.awaitChanges(ctx, revision); err == nil {
				relists = 0
			}
		}
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			backoff.Reset()
			continue
		case errors.Is(err, platform.ErrCompacted):
			klog.InfoS("changes are not available, listing again", "after", revision, "error", err.Error())
			listed = false
			if relists++; relists > 1 {
				sleepContext(ctx, storeBackoffMax)
			}
			continue
		}
		g.step(router.StoreLost{Err: err})
		g.awaitRetry(ctx, backoff.Next(rng))
	}
}

// retryCheckInterval is how often a wait for the next call looks for a shorter RetryInterval.
const retryCheckInterval = 100 * time.Millisecond

// awaitRetry waits for the next call after a failed one: for pause, or for the RetryInterval if that is longer.
func (g *Gateway) awaitRetry(ctx context.Context, pause time.Duration) {
	for began := g.now(); ctx.Err() == nil; {
		left := max(pause, g.storeWatch.current().RetryInterval) - (g.now() - began)
		if left <= 0 {
			return
		}
		sleepContext(ctx, min(left, retryCheckInterval))
	}
}

func (g *Gateway) listKeys(ctx context.Context) (uint64, error) {
	listing, err := g.store.ListBefore(ctx, "", router.OriginsPrefix)
	defer g.storeTried.set()
	if err != nil {
		return 0, err
	}
	g.step(router.KeysListed{Facts: listing.Facts, AtRevision: listing.Revision})
	return listing.Revision, nil
}

// awaitChanges waits for changes. A pause after each call lets changes in quick succession be read
// together, because every call is charged.
func (g *Gateway) awaitChanges(ctx context.Context, after uint64) (uint64, error) {
	began := g.now()
	facts, revision, err := g.store.Changes(ctx, "", after, router.WatchWait)
	if err != nil {
		return after, err
	}
	g.step(router.KeysChanged{Facts: facts, AtRevision: revision})
	if spent, interval := g.now()-began, g.storeWatch.current().MinInterval; spent < interval {
		sleepContext(ctx, interval-spent)
	}
	return revision, nil
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// storeKeyTimeout bounds the calls that write a key. The router tries again later.
const storeKeyTimeout = time.Second

// storeKey writes a key with a lease, unless the key exists.
func (g *Gateway) storeKey(e router.StoreKey) {
	ctx, cancel := context.WithTimeout(g.ctx, storeKeyTimeout)
	defer cancel()
	lease, err := g.store.GrantLease(ctx, e.TTL)
	if err == nil {
		_, err = g.store.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: e.Key}},
			Writes:     []platform.Write{{Key: e.Key, Value: e.Value, Lease: lease}},
		})
	}
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		klog.InfoS("key not stored", "key", e.Key, "error", err.Error())
	}
}

// replaceKey writes a key unless it has changed since the router read it.
func (g *Gateway) replaceKey(e router.ReplaceKey) {
	ctx, cancel := context.WithTimeout(g.ctx, storeKeyTimeout)
	defer cancel()
	_, err := g.store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: e.Key, Revision: e.Revision}},
		Writes:     []platform.Write{{Key: e.Key, Value: e.Value}},
	})
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		klog.InfoS("key not replaced", "key", e.Key, "error", err.Error())
	}
}

func (g *Gateway) removeKey(e router.RemoveKey) {
	ctx, cancel := context.WithTimeout(g.ctx, storeKeyTimeout)
	defer cancel()
	if _, err := g.store.Commit(ctx, platform.Txn{Remove: []string{e.Key}}); err != nil {
		klog.InfoS("key not removed, it expires with its lease", "key", e.Key, "error", err.Error())
	}
}

// newPresence returns the instance's own key in the store.
func (g *Gateway) newPresence() *platform.Presence {
	return platform.NewPresence(g.store, router.InstancePrefix+g.settings.PeerAddr, []byte(g.settings.DataCentre))
}
