package platform_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/platform"
)

func serve(t *testing.T, handler http.HandlerFunc) *platform.HTTP {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return platform.NewHTTP(server.URL, server.Client())
}

// Guards against a request that differs from the published protocol.
func TestRequests(t *testing.T) {
	var seen string
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen = r.Method + " " + r.RequestURI + " " + string(body)
		w.Header().Set("X-Revision", "7")
		if r.Method == http.MethodPost {
			_, _ = w.Write([]byte(`{"fence":3,"ttl_ms":1500}`))
		} else if r.URL.Path == "/instances" {
			_, _ = w.Write([]byte(`[{"id":"i1","leaving":true}]`))
		} else {
			_, _ = w.Write([]byte("value"))
		}
	})
	ctx := context.Background()
	entry, err := client.Get(ctx, "claims/a b/../c?d%")
	require.NoError(t, err)
	require.Equal(t, platform.Entry{Value: []byte("value"), Revision: 7}, entry)
	require.Equal(t, "GET /kv/claims/a%20b/%2E%2E/c%3Fd%25 ", seen)
	_, err = client.Watch(ctx, "k", 6, 1500*time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, "GET /kv/k?after=6&wait=1500 ", seen)
	revision, err := client.CompareAndSwap(ctx, "k", []byte("new"), 6)
	require.NoError(t, err)
	require.Equal(t, uint64(7), revision)
	require.Equal(t, "PUT /kv/k?expect=6 new", seen)
	lease, err := client.Acquire(ctx, "duty/1", "i1", 2*time.Second)
	require.NoError(t, err)
	require.Equal(t, platform.Lease{Name: "duty/1", Holder: "i1", Fence: 3, TTL: 1500 * time.Millisecond}, lease)
	require.Equal(t, `POST /lease/duty/1/acquire {"holder":"i1","ttl_ms":2000}`, seen)
	require.NoError(t, client.Release(ctx, "duty/1", "i1", 3))
	require.Equal(t, `POST /lease/duty/1/release {"holder":"i1","fence":3}`, seen)
	list, err := client.Instances(ctx)
	require.NoError(t, err)
	require.Equal(t, []platform.Instance{{ID: "i1", Leaving: true}}, list)
	_, err = client.Get(ctx, "a//b")
	require.Error(t, err)
}

// Guards against a write reported as refused that may have taken effect, and the reverse.
func TestErrorClasses(t *testing.T) {
	for status, want := range map[int][2]error{ // read, write
		http.StatusNotFound:              {platform.ErrUnavailable, nil}, // without a revision
		http.StatusConflict:              {platform.ErrConflict, platform.ErrConflict},
		http.StatusRequestEntityTooLarge: {nil, platform.ErrTooLarge},
		http.StatusTooManyRequests:       {platform.ErrUnavailable, platform.ErrUnavailable},
		http.StatusServiceUnavailable:    {platform.ErrUnavailable, platform.ErrUnavailable},
		http.StatusInternalServerError:   {platform.ErrUnavailable, platform.ErrUnknown},
		http.StatusOK:                    {platform.ErrUnavailable, platform.ErrUnknown}, // without a revision
	} {
		checkClasses(t, serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }), want, status)
	}
	broken := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	checkClasses(t, broken, [2]error{platform.ErrUnavailable, platform.ErrUnknown}, "broken connection")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	refused := platform.NewHTTP("http://"+listener.Addr().String(), nil)
	checkClasses(t, refused, [2]error{platform.ErrUnavailable, platform.ErrUnavailable}, "failed dial")
	_, err = refused.CompareAndSwap(context.Background(), "k", make([]byte, platform.MaxValueBytes+1), 0)
	require.ErrorIs(t, err, platform.ErrTooLarge)
}

func checkClasses(t *testing.T, client *platform.HTTP, want [2]error, what any) {
	ctx := context.Background()
	_, read := client.Get(ctx, "k")
	_, write := client.CompareAndSwap(ctx, "k", nil, 0)
	_, acquire := client.Acquire(ctx, "k", "i", time.Second)
	require.Error(t, read, what)
	require.Error(t, write, what)
	if want[0] != nil {
		require.ErrorIs(t, read, want[0], what)
		require.NotErrorIs(t, read, platform.ErrUnknown, what)
	}
	if want[1] != nil {
		require.ErrorIs(t, write, want[1], what)
		require.ErrorIs(t, acquire, want[1], what)
	}
}

// Guards against an absent key that Watch reports as a failure.
func TestWatchAbsent(t *testing.T) {
	client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Revision", "0")
		w.WriteHeader(http.StatusNotFound)
	})
	entry, err := client.Watch(context.Background(), "k", 0, 0)
	require.NoError(t, err)
	require.Zero(t, entry)
	_, err = client.Get(context.Background(), "k")
	require.ErrorIs(t, err, platform.ErrNotFound)
}
