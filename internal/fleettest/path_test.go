package fleettest

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
)

func chatOf(text string, stream bool) enginesim.Request {
	return enginesim.Request{
		Model:    "model",
		Messages: []enginesim.Message{{Role: "user", Content: enginesim.Content(text)}},
		Stream:   stream,
	}
}

// Guards against a break anywhere on the path from a published file to a streamed answer.
func TestWholePath(t *testing.T) {
	f := Start(t, Options{Instances: 3, Engines: 2, Services: 1})
	ctx := context.Background()
	for i, node := range f.Nodes {
		client := f.Client(node)
		for _, stream := range []bool{true, false} {
			result := client.Chat(ctx, fmt.Sprintf("chat-%d", i), chatOf(fmt.Sprintf("question %d", i), stream))
			require.Equal(t, callersim.OK, result.Kind, result.Detail)
		}
		order := client.Call(ctx, http.MethodPost, "/v1/services/orders/orders", fmt.Sprintf("key-%d", i), []byte(`{"milk":1}`))
		require.Equal(t, callersim.OK, order.Kind, order.Detail)
	}
	// A resend to another instance gets the recorded outcome.
	again := f.Client(f.Nodes[1]).Call(ctx, http.MethodPost, "/v1/services/orders/orders", "key-0", []byte(`{"milk":1}`))
	require.Equal(t, callersim.OK, again.Kind, again.Detail)
	require.Equal(t, 1, f.Services[0].Log().Counts["key-0"])
}
