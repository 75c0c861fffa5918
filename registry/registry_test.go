package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/registry"
)

const grace = 2 * time.Second

func newFilled() *registry.Registry {
	r := registry.New(registry.Config{ReregistrationGrace: grace})
	for _, id := range []fleet.EngineID{"e1", "e2", "e3"} {
		r.Put(0, registry.Engine{ID: id, Service: "s", Addr: "10.0.0.1:80"})
	}
	return r
}

func ExampleRegistry_Service() {
	r := newFilled()
	r.Remove(0, "e2")
	for _, e := range r.Service("s") {
		fmt.Println(e.ID)
	}
	// Output:
	// e1
	// e3
}

// Guards against an engine that is kept after its registration disappeared while the store is
// available.
func TestRemovalCountsAtOnce(t *testing.T) {
	r := newFilled()
	require.True(t, r.Remove(time.Second, "e1"))
	require.Equal(t, 2, r.Len())
	require.False(t, r.Remove(time.Second, "e1"))
}

// Guards against the loss of all engines when their registrations expire because the store is
// unavailable.
func TestLapsedRegistrationsAreSuspended(t *testing.T) {
	r := newFilled()
	r.StoreLost()
	require.False(t, r.Remove(time.Second, "e1"))
	r.StoreRegained(10 * time.Second)
	require.False(t, r.Remove(10*time.Second, "e2"))
	require.Equal(t, 3, r.Len())
	// e1 registers again, e2 does not.
	require.True(t, r.Put(0, registry.Engine{ID: "e1", Service: "s", Addr: "10.0.0.1:80"}))
	require.Empty(t, r.Tick(10*time.Second+grace-1))
	require.Equal(t, []fleet.EngineID{"e2"}, r.Tick(10*time.Second+grace))
	require.Equal(t, 2, r.Len())
	// After the grace period an engine is removed at once again.
	require.True(t, r.Remove(10*time.Second+grace, "e3"))
}

// Guards against a grace period that starts again with every successful read of the store.
func TestGraceStartsOnceForEachLoss(t *testing.T) {
	r := newFilled()
	r.StoreLost()
	r.StoreRegained(time.Second)
	r.Remove(time.Second, "e1")
	r.StoreRegained(2 * time.Second)
	require.Equal(t, []fleet.EngineID{"e1"}, r.Tick(time.Second+grace))
}

// Guards against pools that are rebuilt when an engine renews its registration without a change.
func TestPutReportsChangesOnly(t *testing.T) {
	r := newFilled()
	same := registry.Engine{ID: "e1", Service: "s", Addr: "10.0.0.1:80"}
	require.False(t, r.Put(0, same))
	same.Draining = true
	require.True(t, r.Put(0, same))
	require.True(t, r.RemoveNow("e1"))
	require.False(t, r.RemoveNow("e1"))
}

// Guards against new requests to an engine that drains, or has left, whose registration of before is in a restored
// store, and against an engine that stays shut out.
func TestDrainingEngineIsNotReadyAgainInARestoredStore(t *testing.T) {
	ready := registry.Engine{ID: "e1", Service: "s", Addr: "10.0.0.1:80", StartedAtMillis: 7}
	draining := ready
	draining.Draining = true
	drains := func(r *registry.Registry, now time.Duration, e registry.Engine) bool {
		r.Put(now, e)
		held, _ := r.Get(e.ID)
		return held.Draining
	}
	r := registry.New(registry.Config{ReregistrationGrace: grace})
	require.True(t, drains(r, 0, draining))
	require.False(t, drains(r, 0, ready), "the engine itself may be ready again")
	require.True(t, drains(r, 0, draining))
	require.True(t, r.Remove(time.Second, "e1"))
	r.StoreRestored(2 * time.Second)
	require.True(t, drains(r, 2*time.Second, ready))
	next := ready
	next.StartedAtMillis = 8
	require.False(t, drains(r, 2*time.Second, next), "another process")
	require.True(t, drains(r, 3*time.Second, draining))
	r.Tick(4 * time.Second)
	require.False(t, drains(r, 5*time.Second, ready), "what is registered after the grace period holds")
}

// Guards against new requests to an engine that left without a word, whose registration of before is in a restored
// store.
func TestGoneEngineIsNotReadyAgainInARestoredStore(t *testing.T) {
	r := newFilled()
	e1, _ := r.Get("e1")
	require.True(t, r.Remove(time.Second, "e1"))
	r.StoreRestored(2 * time.Second)
	r.Put(2*time.Second, e1)
	held, _ := r.Get("e1")
	require.True(t, held.Draining)
	r.Tick(2*time.Second + grace)
	r.Put(2*time.Second+grace, e1)
	held, _ = r.Get("e1")
	require.False(t, held.Draining, "its registration is written again, so that it has come back")
}

// Guards against engines that are removed at once because a restored store lacks their registrations.
func TestRestoredStoreStartsTheGracePeriod(t *testing.T) {
	r := registry.New(registry.Config{ReregistrationGrace: grace})
	r.Put(0, registry.Engine{ID: "e1", Service: "s", Addr: "10.0.0.1:80"})
	r.StoreRestored(time.Second)
	require.False(t, r.Remove(2*time.Second, "e1"))
	require.Empty(t, r.Tick(2*time.Second))
	require.Equal(t, []fleet.EngineID{"e1"}, r.Tick(3*time.Second))
}
