package callersim

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/servicesim"
)

// Guards against a client that accepts truncated answers or answers to other requests, or that
// reports a refused request as one that was run.
func TestChatKinds(t *testing.T) {
	engine := enginesim.New(enginesim.Options{})
	server, err := engine.Start("127.0.0.1:0")
	require.NoError(t, err)
	client := &Client{HTTP: http.DefaultClient, Base: server.URL}
	one, yes := 1, true
	chat := func(stream bool) Kind {
		messages := []enginesim.Message{{Role: "user", Content: "hello"}}
		return client.Chat(context.Background(), "c", enginesim.Request{Stream: stream, Messages: messages}).Kind
	}
	require.Equal(t, []Kind{Complete, Complete}, []Kind{chat(true), chat(false)})
	engine.SetFault(enginesim.Fault{WrongAttemptID: &one})
	require.Equal(t, WrongAnswer, chat(true))
	engine.SetFault(enginesim.Fault{EndWithoutDone: &enginesim.StreamCut{After: 4, Times: 1}})
	require.Equal(t, Cut, chat(true))
	engine.SetFault(enginesim.Fault{BreakAfter: &enginesim.StreamCut{After: 4, Times: 1}})
	require.Equal(t, Cut, chat(true))
	engine.SetFault(enginesim.Fault{Refuse: &yes})
	require.Equal(t, NotRun, chat(true))
	require.NoError(t, server.Close())
	// A request on a reused connection would end as Broken or Unreachable, depending on whether the
	// client notices the close before or after it sends.
	client.HTTP = &http.Client{Transport: &http.Transport{}}
	require.Equal(t, Unreachable, chat(true))
}

// Guards against an HTTP client that resends a call by itself after a broken connection, which
// would duplicate the call before the fleet sees it.
func TestCallIsSentOnce(t *testing.T) {
	service := servicesim.New(servicesim.Options{})
	server, err := service.Start("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	client := &Client{HTTP: http.DefaultClient, Base: server.URL}
	call := func(key string) Kind {
		return client.Call(context.Background(), http.MethodPost, "/orders", key, []byte("order")).Kind
	}
	require.Equal(t, Complete, call("k1"))
	one := 1
	service.SetFault(servicesim.Fault{LoseAnswer: &one})
	require.Equal(t, Broken, call("k2"))
	require.Equal(t, map[string]int{"k1": 1, "k2": 1}, service.Log().Counts)
}
