package fleettest

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/adminapi"
	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
)

func chatRequest(text string, stream bool) enginesim.Request {
	return enginesim.Request{
		Model:    "model",
		Messages: []enginesim.Message{{Role: "user", Content: enginesim.Content(text)}},
		Stream:   stream,
	}
}

// Guards against a fault anywhere on the path from a published configuration to an answer,
// streamed or not, of an engine or a plain service.
func TestWholePath(t *testing.T) {
	f := Start(t, Options{Instances: 3, Engines: 2, Services: 1})
	ctx := context.Background()
	for i, node := range f.Nodes {
		client := f.Client(node)
		for _, stream := range []bool{true, false} {
			result := client.Chat(ctx, fmt.Sprintf("chat-%d", i), chatRequest(fmt.Sprintf("question %d", i), stream))
			require.Equal(t, callersim.Complete, result.Kind, result.Detail)
		}
		order := client.Call(ctx, http.MethodPost, "/v1/services/orders/orders", fmt.Sprintf("key-%d", i), []byte(`{"milk":1}`))
		require.Equal(t, callersim.Complete, order.Kind, order.Detail)
	}
	// A call repeated through another instance gets the recorded outcome and isn't run again.
	again := f.Client(f.Nodes[1]).Call(ctx, http.MethodPost, "/v1/services/orders/orders", "key-0", []byte(`{"milk":1}`))
	require.Equal(t, callersim.Complete, again.Kind, again.Detail)
	require.Equal(t, 1, f.Services[0].Log().Counts["key-0"])
}

// Guards against a drain over the admin API that waits beyond its deadline for a long stream.
func TestAdminDrainEndsAtItsDeadline(t *testing.T) {
	f := Start(t, Options{Instances: 1, Engines: 1, Engine: enginesim.Options{TokensPerSecond: 2}})
	node := f.Nodes[0]
	f.StopNode(node)
	node.Settings.DrainDeadline = 300 * time.Millisecond
	f.StartNode(node)
	f.AwaitReady()
	request := chatRequest("a long answer", true)
	request.MaxTokens = 1000
	go f.Client(node).Chat(context.Background(), "long", request)
	require.Eventually(t, func() bool { return f.Engines[0].InFlight() == 1 }, WaitTimeout, 5*time.Millisecond)
	client := adminapi.Client{Secret: string(node.Settings.FleetSecret)}
	require.NoError(t, client.Drain(context.Background(), node.Settings.AdminAddr))
	select {
	case <-node.done:
	case <-time.After(WaitTimeout):
		t.Fatal("the drain did not end")
	}
}
