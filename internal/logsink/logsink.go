// Package logsink writes structured log lines without ever blocking a caller.
//
// Each line is a JSON object. Lines are collected in a bounded buffer and written by one
// goroutine. The volume is bounded in lines per second; what goes beyond, or does not fit while
// the output is slow, is dropped and counted by message, and the counts are logged once a second.
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
	// flushInterval is the longest time that a line stays in memory. Longer writes cost less.
	flushInterval = 200 * time.Millisecond
	// bufferBytes bounds the lines that wait for the output.
	bufferBytes = 64 << 10
	// maxLineBytes bounds one line.
	maxLineBytes = 4 << 10
	// maxWriteBytes bounds one write. A pipe takes 4 KB at once, and collectors that read less than
	// a write cut the line at its end.
	maxWriteBytes = 4 << 10
	// burstSeconds is the time for which unused lines are saved up.
	burstSeconds = 2
)

// Sink is a logr.LogSink. Its methods are safe for concurrent use.
type Sink struct {
	core *core
	name string
	// values is the encoded part that WithValues added.
	values []byte
}

type core struct {
	out io.Writer
	now func() time.Time

	mu      sync.Mutex
	pending []byte
	// level is the number of lines that may be logged now, as of at.
	level   float64
	rate    float64
	at      time.Time
	dropped map[string]uint64
	total   uint64
	told    time.Time
	closed  chan struct{}
	done    chan struct{}
}

var _ logr.LogSink = (*Sink)(nil)

// New returns a sink that writes at most lines per second to out. Close ends it.
func New(out io.Writer, lines int) *Sink {
	c := &core{
		out:     out,
		now:     time.Now,
		rate:    float64(lines),
		level:   float64(lines) * burstSeconds,
		at:      time.Now(),
		dropped: make(map[string]uint64),
		closed:  make(chan struct{}),
		done:    make(chan struct{}),
	}
	go c.run()
	return &Sink{core: c}
}

// Close writes what is pending and ends the sink's goroutine.
func (s *Sink) Close() {
	close(s.core.closed)
	<-s.core.done
}

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() uint64 {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	return s.core.total
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
	return &Sink{core: s.core, name: s.name, values: appendFields(append([]byte{}, s.values...), fields)}
}

// WithName implements logr.LogSink.
func (s *Sink) WithName(name string) logr.LogSink {
	return &Sink{core: s.core, name: name, values: s.values}
}

func (s *Sink) log(level, msg string, err error, fields []any) {
	c := s.core
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.take() || len(c.pending) > bufferBytes-maxLineBytes {
		c.total++
		c.dropped[msg]++
		return
	}
	c.line(level, msg, s.values, err, fields)
}

// take reports whether the rate allows one more line.
func (c *core) take() bool {
	now := c.now()
	c.level = min(c.rate*burstSeconds, c.level+c.rate*now.Sub(c.at).Seconds())
	c.at = now
	if c.level < 1 {
		return false
	}
	c.level--
	return true
}

// line appends one line to the pending ones.
func (c *core) line(level, msg string, values []byte, err error, fields []any) {
	start := len(c.pending)
	b := append(c.pending, `{"time":"`...)
	b = c.now().UTC().AppendFormat(b, "2006-01-02T15:04:05.000000Z")
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
	c.pending = append(b, '}', '\n')
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

// appendString appends a JSON string. Plain text, which nearly all values are, is not escaped.
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
func (c *core) run() {
	defer close(c.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			c.flush()
			return
		case <-ticker.C:
			c.flush()
		}
	}
}

// flush writes the pending lines outside the lock.
func (c *core) flush() {
	c.mu.Lock()
	c.tellDropped()
	lines := c.pending
	c.pending = nil
	c.mu.Unlock()
	for len(lines) > 0 {
		n := wholeLines(lines)
		// There is nowhere to report that the log can't be written.
		_, _ = c.out.Write(lines[:n])
		lines = lines[n:]
	}
}

// wholeLines returns the length of the whole lines at the start that fit into one write, and at
// least one line.
func wholeLines(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	return bytes.IndexByte(lines, '\n') + 1
}

// tellDropped logs how many lines of each message were dropped, once a second.
func (c *core) tellDropped() {
	if len(c.dropped) == 0 || c.now().Sub(c.told) < time.Second {
		return
	}
	c.told = c.now()
	messages := make([]string, 0, len(c.dropped))
	for msg := range c.dropped {
		messages = append(messages, msg)
	}
	sort.Strings(messages)
	fields := make([]any, 0, 2*len(messages))
	for _, msg := range messages {
		fields = append(fields, msg, c.dropped[msg])
	}
	clear(c.dropped)
	c.line("error", "log lines dropped", nil, nil, fields)
}
