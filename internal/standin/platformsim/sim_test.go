package platformsim

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/platform"
)

var background = context.Background()

// Guards against a fencing number that stays the same when a lease changes hands, and
// against one that rises with a renewal.
func TestFenceRisesWithEachNewGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := New(Options{})
		acquire := func(holder string) uint64 {
			lease, err := sim.Acquire(background, "duty", holder, time.Second)
			require.NoError(t, err)
			return lease.Fence
		}
		require.EqualValues(t, 1, acquire("a"))
		require.EqualValues(t, 1, acquire("a"))
		_, err := sim.Acquire(background, "duty", "b", time.Second)
		require.ErrorIs(t, err, platform.ErrConflict)
		time.Sleep(time.Second)
		require.EqualValues(t, 2, acquire("b"))
		require.ErrorIs(t, sim.Release(background, "duty", "a", 1), platform.ErrConflict)
		sim.SetFault(Fault{LapseLease: "duty"})
		require.EqualValues(t, 3, acquire("a"))
		require.NoError(t, sim.Release(background, "duty", "a", 3))
		require.EqualValues(t, 4, acquire("a"))
	})
}

// Guards against a watch that misses a write, reports an old one or outlives an outage.
func TestWatchSeesWritesAndOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := New(Options{})
		entry, err := sim.Watch(background, "k", 0, time.Minute)
		require.NoError(t, err)
		require.Zero(t, entry.Revision)

		time.AfterFunc(time.Second, func() { _, _ = sim.CompareAndSwap(background, "k", []byte("v"), 0) })
		entry, err = sim.Watch(background, "k", 0, time.Minute)
		require.NoError(t, err)
		require.Equal(t, platform.Entry{Value: []byte("v"), Revision: 1}, entry)

		down := true
		time.AfterFunc(time.Second, func() { sim.SetFault(Fault{Down: &down}) })
		_, err = sim.Watch(background, "k", 1, time.Minute)
		require.ErrorIs(t, err, platform.ErrUnavailable)
		require.Zero(t, sim.Counts().Waiting)
	})
}

// Guards against a lost answer whose write did not take effect, which would hide doubled
// writes from the tests of the writers.
func TestLostAnswerTakesEffect(t *testing.T) {
	sim := New(Options{})
	sim.SetFault(Fault{LoseAnswers: &LoseAnswers{Count: 1}})
	_, err := sim.CompareAndSwap(background, "k", []byte("v"), 0)
	require.ErrorIs(t, err, platform.ErrUnknown)
	entry, err := sim.Get(background, "k")
	require.NoError(t, err)
	require.Equal(t, "v", string(entry.Value))
	require.Equal(t, 1, sim.Counts().LostAnswers)
}

// Guards against an instance list that shows the truth before its lag has passed, and
// against calls above the stated rate that are let in.
func TestListLagAndRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := New(Options{ReadsPerSecond: 2})
		lag := 3000
		sim.SetFault(Fault{ListLagMS: &lag})
		sim.SetInstances([]platform.Instance{{ID: "a"}})
		time.Sleep(5 * time.Second)
		sim.SetInstances([]platform.Instance{{ID: "a", Leaving: true}})
		leaving := func() bool {
			list, err := sim.Instances(background)
			require.NoError(t, err)
			require.Len(t, list, 1)
			return list[0].Leaving
		}
		require.False(t, leaving())
		time.Sleep(2999 * time.Millisecond)
		require.False(t, leaving())
		time.Sleep(time.Millisecond)
		require.True(t, leaving())
		_, err := sim.Instances(background)
		require.ErrorIs(t, err, ErrRate)
		require.Equal(t, 1, sim.Counts().Refused.List)
	})
}

// Guards against a wire form that differs from the one that the daemon's client expects.
func TestHTTP(t *testing.T) {
	sim := New(Options{WritesPerSecond: 4})
	server := httptest.NewServer(sim.Handler())
	defer server.Close()
	call := func(method, path, body string) (int, string, string) {
		request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, "", ""
		}
		defer func() { _ = response.Body.Close() }()
		text, _ := io.ReadAll(response.Body)
		return response.StatusCode, response.Header.Get(RevisionHeader), strings.TrimSpace(string(text))
	}
	expect := func(method, path, body string, status int, revision, text string) {
		t.Helper()
		gotStatus, gotRevision, gotText := call(method, path, body)
		require.Equal(t, []any{status, revision, text}, []any{gotStatus, gotRevision, gotText})
	}
	expect("GET", "/kv/config/head", "", 404, "0", "")
	expect("PUT", "/kv/config/head?expect=0", "one", 200, "1", "")
	expect("GET", "/kv/config/head", "", 200, "1", "one")
	expect("GET", "/kv/config/head?after=0&wait=5000", "", 200, "1", "one")
	expect("PUT", "/kv/config/head?expect=0", "two", 409, "", `{"error":"platform: revision conflict"}`)
	status, _, _ := call("PUT", "/kv/big?expect=0", strings.Repeat("x", platform.MaxValueBytes+1))
	require.Equal(t, 413, status)
	expect("POST", "/lease/a/b/acquire", `{"holder":"i","ttl_ms":60000}`, 200, "", `{"fence":1,"ttl_ms":60000}`)
	expect("POST", "/control/fault", `{"lose_answers":{"count":1}}`, 200, "", "")
	expect("PUT", "/kv/k?expect=0", "v", 0, "", "")
	expect("GET", "/kv/k", "", 200, "1", "v")
	expect("PUT", "/control/instances", `[{"id":"a","region":"r"}]`, 200, "", "")
	expect("GET", "/instances", "", 200, "", `[{"id":"a","peer_addr":"","admin_addr":"","data_centre":"","region":"r","leaving":false}]`)
	sim.options.WritesPerSecond = 0
	status, _, _ = call("PUT", "/kv/k?expect=1", "v")
	require.Equal(t, 429, status)
	expect("POST", "/control/fault", `{"down":true}`, 200, "", "")
	status, _, _ = call("GET", "/kv/k", "")
	require.Equal(t, 503, status)
}
