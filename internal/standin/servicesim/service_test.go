package servicesim

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func one() *int {
	n := 1
	return &n
}

func serve(t *testing.T, options Options) (*Service, func(key string) (*http.Response, Receipt)) {
	service := New(options)
	server, err := service.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return service, func(key string) (*http.Response, Receipt) {
		// A request without a GetBody function keeps net/http from resending the call by itself.
		body := io.MultiReader(strings.NewReader("order"))
		r, err := http.NewRequest(http.MethodPost, server.URL+"/orders", body)
		require.NoError(t, err)
		r.Header.Set(KeyHeader, key)
		r.Header.Set(AttemptHeader, "a1")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return nil, Receipt{}
		}
		defer func() { _ = response.Body.Close() }()
		var receipt Receipt
		require.NoError(t, json.NewDecoder(response.Body).Decode(&receipt))
		return response, receipt
	}
}

// Guards against a repeated run that the log does not show, and against faults after which the
// log does not show whether the call took effect.
func TestFaultsAroundTheEffect(t *testing.T) {
	service, order := serve(t, Options{ID: "s"})
	response, receipt := order("k1")
	require.Equal(t, "a1", response.Header.Get(AttemptHeader))
	require.Equal(t, Receipt{"s", "POST", "/orders", "k1", BodyDigest([]byte("order")), 1}, receipt)
	_, receipt = order("k1")
	require.Equal(t, 2, receipt.Run)

	service.SetFault(Fault{LoseAnswer: one()})
	response, _ = order("k2")
	require.Nil(t, response)
	service.SetFault(Fault{CrashBefore: one(), RestartMS: new(int)})
	response, _ = order("k3")
	require.Nil(t, response)
	log := service.Log()
	require.Equal(t, map[string]int{"k1": 2, "k2": 1}, log.Counts)
	require.Len(t, log.Runs, 4)
	require.False(t, log.Runs[3].Effect)
}

// Guards against an idempotency check that runs a key twice after a lost answer, or that never
// runs a key whose first call was refused.
func TestOwnCheck(t *testing.T) {
	service, order := serve(t, Options{Idempotent: true})
	service.SetFault(Fault{LoseAnswer: one()})
	response, _ := order("k1")
	require.Nil(t, response)
	response, receipt := order("k1")
	require.Equal(t, "true", response.Header.Get(ReplayedHeader))
	require.Equal(t, 1, receipt.Run)

	refuse := true
	service.SetFault(Fault{Refuse: &refuse})
	response, _ = order("k2")
	require.Equal(t, "true", response.Header.Get(NotRunHeader))
	refuse = false
	service.SetFault(Fault{Refuse: &refuse})
	_, receipt = order("k2")
	require.Equal(t, 1, receipt.Run)
	require.Equal(t, map[string]int{"k1": 1, "k2": 1}, service.Log().Counts)
}

// Guards against a restart that the load report does not show, and against calls that are still
// counted as in flight after a crash.
func TestLoadShowsRestart(t *testing.T) {
	service, order := serve(t, Options{Slots: 4})
	_, _ = order("k1")
	load, up := service.Load()
	require.True(t, up)
	require.Equal(t, Load{Slots: 4, Incarnation: 1}, load)
	never := int(time.Hour / time.Millisecond)
	service.SetFault(Fault{CrashAfter: one(), RestartMS: &never})
	response, _ := order("k2")
	require.Nil(t, response)
	_, up = service.Load()
	require.False(t, up)
	service.restartNow()
	load, up = service.Load()
	require.True(t, up)
	require.Equal(t, uint64(2), load.Incarnation)
}
