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
	// watchWait is how long a call for changes waits. The store may forget a waiting call without
	// closing its connection, which only the end of the wait shows; a configuration has to be in
	// force two seconds after the store accepted it.
	watchWait = time.Second
	// storeBackoffBase and storeBackoffMax bound the pauses between calls to a store that fails.
	// The bounds for drains and configurations leave about two seconds.
	storeBackoffBase = 50 * time.Millisecond
	storeBackoffMax  = 500 * time.Millisecond
	// startPause follows the first list of a process. Links to the watchers are up within 0.8 s of a
	// start; until then each of many instances that start together would pay for calls of its own.
	startPause = 750 * time.Millisecond
)

// watchSwitch turns the reading of changes on and off. It is made by newWatchSwitch.
type watchSwitch struct {
	mu     sync.Mutex
	on     bool
	pause  time.Duration
	cancel context.CancelFunc
	wake   chan struct{}
}

func newWatchSwitch() *watchSwitch { return &watchSwitch{wake: make(chan struct{}, 1)} }

func (s *watchSwitch) set(on bool, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on, s.pause = on, pause
	if !on && s.cancel != nil {
		s.cancel()
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// between is the least time between two calls for changes.
func (s *watchSwitch) between() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pause
}

// await waits until reading is on. It returns a context that ends when it is turned off.
func (s *watchSwitch) await(ctx context.Context) (context.Context, bool) {
	for ctx.Err() == nil {
		s.mu.Lock()
		if s.on {
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

// watchStore reads keys and their changes whenever the reducer asks for it.
func (g *Gateway) watchStore() {
	for {
		ctx, ok := g.watch.await(g.ctx)
		if !ok {
			return
		}
		g.followStore(ctx)
	}
}

// followStore lists all keys and then waits for changes, until ctx ends.
func (g *Gateway) followStore(ctx context.Context) {
	backoff := retry.Backoff{Base: storeBackoffBase, Max: storeBackoffMax}
	random := rand.New(rand.NewPCG(g.incarnation, 1))
	var at uint64
	listed := false
	for ctx.Err() == nil {
		var err error
		if !listed {
			at, err = g.listKeys(ctx)
			listed = err == nil
			if listed && !g.listed {
				g.listed = true
				sleep(ctx, startPause)
			}
		} else {
			at, err = g.awaitChanges(ctx, at)
		}
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			backoff.Reset()
			continue
		case errors.Is(err, platform.ErrCompacted):
			klog.InfoS("store history is compacted, listing again", "after", at)
			listed = false
			continue
		}
		g.step(router.StoreLost{Err: err})
		sleep(ctx, backoff.Next(random))
	}
}

func (g *Gateway) listKeys(ctx context.Context) (uint64, error) {
	listing, err := g.store.List(ctx, "")
	if err != nil {
		return 0, err
	}
	g.step(router.KeysListed{Facts: listing.Facts, At: listing.At})
	return listing.At, nil
}

// awaitChanges waits for changes. Changes that come in quick succession are read together after
// a short pause, because every call is paid for.
func (g *Gateway) awaitChanges(ctx context.Context, after uint64) (uint64, error) {
	began := g.now()
	facts, at, err := g.store.Changes(ctx, "", after, watchWait)
	if err != nil {
		return after, err
	}
	g.step(router.KeysChanged{Facts: facts, At: at})
	if spent, pause := g.now()-began, g.watch.between(); spent < pause {
		sleep(ctx, pause-spent)
	}
	return at, nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// keepPresence keeps the instance's own key in the store.
func (g *Gateway) keepPresence() {
	key := router.InstancePrefix + g.settings.PeerAddr
	platform.NewPresence(g.store, key, []byte(g.settings.DataCentre)).Run(g.ctx, g.incarnation)
}
