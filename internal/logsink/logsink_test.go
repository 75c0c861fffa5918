package logsink

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

func newTest(out io.Writer, lines int) *Sink {
	now := time.Unix(1_700_000_000, 0)
	return &Sink{core: &core{
		out: out, now: func() time.Time { return now }, rate: float64(lines), level: float64(lines), at: now,
		dropped: make(map[string]uint64), closed: make(chan struct{}), done: make(chan struct{}),
	}}
}

// Guards against lines that a collector can't parse.
func TestLinesAreJSON(t *testing.T) {
	var out bytes.Buffer
	s := newTest(&out, 10)
	s.WithValues("instance", "a\"b").Info(0, "sent", "request", "r1", "load", 3, "mean", 0.25, "ok", true, "bad", "x\ny")
	s.Error(errors.New("boom"), "failed", 7, nil)
	s.core.flush()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 2)
	var first, second map[string]any
	require.NoError(t, json.Unmarshal([]byte(lines[0]), &first))
	require.NoError(t, json.Unmarshal([]byte(lines[1]), &second))
	require.Equal(t, `a"b`, first["instance"])
	require.Equal(t, "x\ny", first["bad"])
	require.Equal(t, 3.0, first["load"])
	require.Equal(t, "boom", second["error"])
}

// Guards against an unbounded volume, and against dropping lines without a trace.
func TestRateIsBoundedAndDropsAreCounted(t *testing.T) {
	var out bytes.Buffer
	s := newTest(&out, 3)
	for range 10 {
		s.Info(0, "sent")
	}
	require.Equal(t, uint64(7), s.Dropped())
	s.core.flush()
	require.Equal(t, 4, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), `"msg":"log lines dropped","sent":7`)
}

// Guards against a line of unlimited length.
func TestLongLineIsReplaced(t *testing.T) {
	var out bytes.Buffer
	s := newTest(&out, 3)
	s.Info(0, "sent", "detail", strings.Repeat("x", 10_000))
	s.core.flush()
	require.Contains(t, out.String(), "too long")
	require.Less(t, out.Len(), maxLineBytes)
}

// blockedWriter blocks until it is released, like a full pipe.
type blockedWriter struct {
	release chan struct{}
	once    sync.Once
	entered chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.entered) })
	<-w.release
	return len(p), nil
}

// Guards against a caller that waits for a blocked output.
func TestBlockedOutputDropsLines(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{}), entered: make(chan struct{})}
	s := New(w, 1_000_000)
	s.Info(0, "first")
	<-w.entered
	for range 10_000 {
		s.Info(0, "more", "detail", strings.Repeat("x", 100))
	}
	require.Positive(t, s.Dropped())
	close(w.release)
	s.Close()
}

// writes keeps each write.
type writes struct{ list []string }

func (w *writes) Write(b []byte) (int, error) {
	w.list = append(w.list, string(b))
	return len(b), nil
}

// Guards against a burst in one write, of which a collector cut the end off: lines of requests were
// missing after a machine had stood still.
func TestWritesHoldWholeLines(t *testing.T) {
	out := &writes{}
	sink := New(out, 1000)
	log := logr.New(sink)
	for i := range 300 {
		log.Info("line", "number", i, "text", strings.Repeat("x", i%200))
	}
	log.Info("line", "number", 300, "text", strings.Repeat("y", 3900))
	sink.Close()
	require.Greater(t, len(out.list), 5)
	lines := 0
	for _, w := range out.list {
		require.LessOrEqual(t, len(w), 4096)
		require.True(t, strings.HasSuffix(w, "}\n"))
		lines += strings.Count(w, "\n")
	}
	require.Equal(t, 301, lines)
}
