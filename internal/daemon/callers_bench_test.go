package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/fleettest"
	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
)

// BenchmarkChat measures a chat with 16 tokens that is sent directly to an engine, and the same
// chat sent through a daemon. The difference is the cost of the router in time and allocations.
func BenchmarkChat(b *testing.B) {
	f := fleettest.Start(b, fleettest.Options{Instances: 1, Engines: 4, Engine: enginesim.Options{Slots: 512}})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	for _, route := range []struct{ name, base string }{
		{"direct", "http://" + f.EngineAddrs()[0]},
		{"routed", "http://" + f.Nodes[0].Settings.CallerAddr},
	} {
		b.Run(route.name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					chat(b, client, route.base, fmt.Sprintf("chat-%d", i%64))
				}
			})
		})
	}
}

func chat(b *testing.B, client *http.Client, base, id string) {
	body := `{"model":"model","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"` + id + `"}]}`
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(b, err)
	r.Header.Set("Authorization", "Bearer "+fleettest.APIKey)
	r.Header.Set("X-Conversation-Id", id)
	response, err := client.Do(r)
	require.NoError(b, err)
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	require.NoError(b, err)
	if response.StatusCode != http.StatusOK || !strings.HasSuffix(strings.TrimSpace(string(answer)), "[DONE]") {
		b.Errorf("status %d: %s", response.StatusCode, answer)
	}
}
