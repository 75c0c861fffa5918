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

func newTestSink(out io.Writer, linesPerSecond int) *Sink {
	now := time.Unix(1_700_000_000, 0)
	return &Sink{writer: &writer{
		out: out, now: func() time.Time { return now }, linesPerSecond: float64(linesPerSecond), tokens: float64(linesPerSecond), tokensAt: now,
		droppedByMessage: make(map[string]uint64), closing: make(chan struct{}), done: make(chan struct{}),
	}}
}

// Guards against lines that are not valid JSON, which a collector can't parse.
func TestLinesAreJSON(t *testing.T) {
	var out bytes.Buffer
	s := newTestSink(&out, 10)
	s.WithValues("instance", "a\"b").Info(0, "sent", "request", "r1", "load", 3, "mean", 0.25, "ok", true, "bad", "x\ny")
	s.Error(errors.New("boom"), "failed", 7, nil)
	s.writer.flush()
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

// Guards against more lines than the rate allows, and against drops that are not logged.
func TestRateIsBoundedAndDropsAreCounted(t *testing.T) {
	var out bytes.Buffer
	s := newTestSink(&out, 3)
	for range 10 {
		s.Info(0, "sent")
	}
	require.Equal(t, uint64(7), s.Dropped())
	s.writer.flush()
	require.Equal(t, 4, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), `"msg":"log lines dropped","sent":7`)
}

// Guards against a line that is longer than maxLineBytes.
func TestLongLineIsReplaced(t *testing.T) {
	var out bytes.Buffer
	s := newTestSink(&out, 3)
	s.Info(0, "sent", "detail", strings.Repeat("x", 10_000))
	s.writer.flush()
	require.Contains(t, out.String(), "too long")
	require.Less(t, out.Len(), maxLineBytes)
}

// blockedWriter blocks writes, like a full pipe, until release is closed.
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

// Guards against a caller that is blocked because the output is blocked.
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

// recordingWriter records each write.
type recordingWriter struct{ writes []string }

func (w *recordingWriter) Write(b []byte) (int, error) {
	w.writes = append(w.writes, string(b))
	return len(b), nil
}

// Guards against a burst of lines in one write, of which a collector cuts off the end: lines of
// requests were missing after a machine had stalled.
func TestWritesHoldWholeLines(t *testing.T) {
	out := &recordingWriter{}
	sink := New(out, 1000)
	log := logr.New(sink)
	for i := range 300 {
		log.Info("line", "number", i, "text", strings.Repeat("x", i%200))
	}
	log.Info("line", "number", 300, "text", strings.Repeat("y", 3900))
	sink.Close()
	require.Greater(t, len(out.writes), 5)
	lines := 0
	for _, w := range out.writes {
		require.LessOrEqual(t, len(w), 4096)
		require.True(t, strings.HasSuffix(w, "}\n"))
		lines += strings.Count(w, "\n")
	}
	require.Equal(t, 301, lines)
}
