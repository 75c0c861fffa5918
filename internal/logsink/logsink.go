// Package logsink writes structured log lines and never blocks the caller that logs.
//
// Each line is a JSON object. Lines are collected in a bounded buffer and written by one goroutine.
// The number of lines per second is limited. A line above the limit, or for which the buffer has no
// space because the output is slow, is dropped. Drops are counted by message, and the counts are
// logged at most once a second.
package logsink

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	// flushInterval is the time between two writes, and so the longest time that a line is buffered.
	// Fewer and longer writes cost less.
	flushInterval = 200 * time.Millisecond
	// maxPendingBytes limits the lines that wait to be written.
	maxPendingBytes = 64 << 10
	// maxLineBytes limits the length of one line.
	maxLineBytes = 4 << 10
	// maxWriteBytes limits one write. A write to a pipe is atomic up to 4 KB, and a collector that
	// reads less than one write cuts off the line at the end of what it reads.
	maxWriteBytes = 4 << 10
	// burstSeconds is the size of the token bucket: after a time without lines, as many lines may be
	// logged at once as the rate allows in this number of seconds.
	burstSeconds = 2
)

// Sink is a logr.LogSink. Its methods are safe for concurrent use.
type Sink struct {
	writer *writer
	name   string
	// values holds the encoded fields that WithValues added.
	values []byte
}

// writer buffers lines and writes them to out. It is shared by all sinks derived from one sink.
type writer struct {
	out io.Writer
	now func() time.Time

	mu      sync.Mutex
	pending []byte
	// tokens is the number of lines that may be logged at once, as of tokensAt.
	tokens           float64
	linesPerSecond   float64
	tokensAt         time.Time
	droppedByMessage map[string]uint64
	droppedTotal     uint64
	droppedLoggedAt  time.Time
	closing          chan struct{}
	done             chan struct{}
}

var _ logr.LogSink = (*Sink)(nil)

// New returns a sink that writes at most linesPerSecond to out on average. Close must be called to end
// its goroutine.
func New(out io.Writer, linesPerSecond int) *Sink {
	w := &writer{
		out:              out,
		now:              time.Now,
		linesPerSecond:   float64(linesPerSecond),
		tokens:           float64(linesPerSecond) * burstSeconds,
		tokensAt:         time.Now(),
		droppedByMessage: make(map[string]uint64),
		closing:          make(chan struct{}),
		done:             make(chan struct{}),
	}
	go w.run()
	return &Sink{writer: w}
}

// Close writes the pending lines and ends the sink's goroutine.
func (s *Sink) Close() {
	close(s.writer.closing)
	<-s.writer.done
}

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() uint64 {
	s.writer.mu.Lock()
	defer s.writer.mu.Unlock()
	return s.writer.droppedTotal
}

// Init implements logr.LogSink.
func (s *Sink) Init(logr.RuntimeInfo) {}

// Enabled implements logr.LogSink.
func (s *Sink) Enabled(int) bool { return true }

// Info implements logr.LogSink.
func (s *Sink) Info(_ int, msg string, fields ...any) { s.log("info", msg, nil, fields) }

// Error implements logr.LogSink.
func (s *Sink) Error(err error, msg string, fields ...any) { s.log("error", msg, err, fields) }

// WithValues implements logr.LogSink.
func (s *Sink) WithValues(fields ...any) logr.LogSink {
	return &Sink{writer: s.writer, name: s.name, values: appendFields(append([]byte{}, s.values...), fields)}
}

// WithName implements logr.LogSink.
func (s *Sink) WithName(name string) logr.LogSink {
	return &Sink{writer: s.writer, name: name, values: s.values}
}

func (s *Sink) log(level, msg string, err error, fields []any) {
	w := s.writer
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.takeToken() || len(w.pending) > maxPendingBytes-maxLineBytes {
		w.droppedTotal++
		w.droppedByMessage[msg]++
		return
	}
	w.appendLine(level, msg, s.values, err, fields)
}

// takeToken reports whether the rate allows one more line, and counts that line.
func (w *writer) takeToken() bool {
	now := w.now()
	w.tokens = min(w.linesPerSecond*burstSeconds, w.tokens+w.linesPerSecond*now.Sub(w.tokensAt).Seconds())
	w.tokensAt = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// appendLine appends a line to the pending ones. A line that is too long is replaced by a short one
// that holds its message.
func (w *writer) appendLine(level, msg string, values []byte, err error, fields []any) {
	start := len(w.pending)
	b := append(w.pending, `{"time":"`...)
	b = w.now().UTC().AppendFormat(b, "2006-01-02T15:04:05.000000Z")
	b = append(b, `","level":"`...)
	b = append(b, level...)
	b = append(b, `","msg":`...)
	b = strconv.AppendQuote(b, msg)
	b = append(b, values...)
	if err != nil {
		b = appendField(b, "error", err.Error())
	}
	b = appendFields(b, fields)
	if len(b)-start > maxLineBytes-len("}\n") {
		b = append(b[:start], `{"level":"error","msg":"log line is too long","of":`...)
		b = strconv.AppendQuote(b, msg)
	}
	w.pending = append(b, '}', '\n')
}

func appendFields(b []byte, fields []any) []byte {
	for i := 0; i+1 < len(fields); i += 2 {
		name, ok := fields[i].(string)
		if !ok {
			name = fmt.Sprint(fields[i])
		}
		b = appendField(b, name, fields[i+1])
	}
	return b
}

func appendField(b []byte, name string, value any) []byte {
	b = append(b, ',', '"')
	b = append(b, name...)
	b = append(b, '"', ':')
	switch v := value.(type) {
	case string:
		return appendString(b, v)
	case int:
		return strconv.AppendInt(b, int64(v), 10)
	case int64:
		return strconv.AppendInt(b, v, 10)
	case uint64:
		return strconv.AppendUint(b, v, 10)
	case float64:
		return strconv.AppendFloat(b, v, 'g', 4, 64)
	case bool:
		return strconv.AppendBool(b, v)
	case error:
		return appendString(b, v.Error())
	}
	return appendString(b, fmt.Sprint(value))
}

// appendString appends a JSON string. Nearly all values are printable ASCII without quotes and
// backslashes; these are appended without the cost of escaping.
func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if s[i] < ' ' || s[i] >= 0x7f || s[i] == '"' || s[i] == '\\' {
			quoted, err := json.Marshal(s)
			if err != nil {
				return append(b, `""`...)
			}
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// run writes pending lines until Close.
func (w *writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.closing:
			w.flush()
			return
		case <-ticker.C:
			w.flush()
		}
	}
}

// flush writes the pending lines. It holds no lock while it writes, so that a slow output does not
// block callers.
func (w *writer) flush() {
	w.mu.Lock()
	w.logDropped()
	lines := w.pending
	w.pending = nil
	w.mu.Unlock()
	for len(lines) > 0 {
		n := completeLines(lines)
		// The error is ignored, since there is no other place to report that the log can't be written.
		_, _ = w.out.Write(lines[:n])
		lines = lines[n:]
	}
}

// completeLines returns the length of the complete lines at the start that fit into one write. It is
// the length of the first line if that alone does not fit.
func completeLines(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	return bytes.IndexByte(lines, '\n') + 1
}

// logDropped appends a line with the number of dropped lines of each message, at most once a second.
// The caller holds the lock.
func (w *writer) logDropped() {
	if len(w.droppedByMessage) == 0 || w.now().Sub(w.droppedLoggedAt) < time.Second {
		return
	}
	w.droppedLoggedAt = w.now()
	messages := make([]string, 0, len(w.droppedByMessage))
	for msg := range w.droppedByMessage {
		messages = append(messages, msg)
	}
	sort.Strings(messages)
	fields := make([]any, 0, 2*len(messages))
	for _, msg := range messages {
		fields = append(fields, msg, w.droppedByMessage[msg])
	}
	clear(w.droppedByMessage)
	w.appendLine("error", "log lines dropped", nil, nil, fields)
}
