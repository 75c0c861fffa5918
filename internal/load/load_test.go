package load

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/servicesim"
)

// Guards against conversations that have only one turn or never end, which would make the prompt
// cache look useless or perfect.
func TestConversationsReturn(t *testing.T) {
	engine := enginesim.New(enginesim.Options{})
	server, err := engine.Start("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	s := newSender(Options{Conversations: 1, Turns: 3, Stream: true}, Target{URLs: []string{server.URL}})
	now := time.Now()
	for range 4 {
		s.sendOne(now, now)
	}
	s.sendOne(now, now.Add(time.Hour))
	cached := []bool{}
	for _, entry := range engine.Log() {
		cached = append(cached, entry.CachedTokens > 0)
	}
	require.Equal(t, []bool{false, true, true, false, true}, cached)
	require.Equal(t, map[callersim.Kind]int{callersim.Complete: 4}, s.result.CountByKind)
	require.EqualValues(t, 4, s.result.AnswerLatency.TotalCount())

	refuse := true
	engine.SetFault(enginesim.Fault{Refuse: &refuse})
	s.sendOne(now, now)
	require.Equal(t, 1, s.result.Errors())
	require.EqualValues(t, 4, s.result.AnswerLatency.TotalCount())
}

// Guards against orders that share an idempotency key, which a target would answer without running
// them.
func TestOrdersAreDistinct(t *testing.T) {
	service := servicesim.New(servicesim.Options{})
	server, err := service.Start("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	s := newSender(Options{OrderShare: 1}, Target{URLs: []string{server.URL}, OrderPath: "/orders"})
	now := time.Now()
	s.sendOne(now, now)
	s.sendOne(now, now)
	require.Len(t, service.Log().Counts, 2)
	require.EqualValues(t, 2, s.result.OrderLatency.TotalCount())
}

// Guards against latencies that omit the delay with which an open loop sent a request, and against
// inverted ratios.
func TestComparison(t *testing.T) {
	base, other := newResult("direct"), newResult("via")
	base.RecordedTime, other.RecordedTime = time.Second, time.Second
	// The histogram stores latencies below 2,048 us exactly.
	result := callersim.ChatResult{Kind: callersim.Complete, FirstToken: 500 * time.Microsecond, Total: time.Millisecond}
	base.addChat(result, 0)
	other.addChat(result, time.Millisecond)
	var text strings.Builder
	WriteComparison(&text, base, other)
	require.Contains(t, text.String(), "first token  p50 ratio 3.000, added 1.000 ms")
	require.Contains(t, text.String(), "whole answer p99 ratio 2.000, added 1.000 ms")
}

// Guards against streams that are closed before the memory is read, and against leaked slots.
func TestHoldStreams(t *testing.T) {
	engine := enginesim.New(enginesim.Options{Slots: 5, TokensPerSecond: 0.001})
	server, err := engine.Start("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	target := Target{URLs: []string{server.URL}}
	s, err := HoldStreams(context.Background(), Options{}, target, 7, os.Getpid(), 0)
	require.NoError(t, err)
	require.Equal(t, []int{5, 2, 0}, []int{s.Opened, s.Failed, s.Ended})
	require.Positive(t, s.HeldKB)
	_, err = ResidentKB(-1)
	require.Error(t, err)
}
