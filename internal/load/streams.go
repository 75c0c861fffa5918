package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc/pool"

	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
)

const (
	// maxOpening bounds the number of streams that are being opened at once. More would overflow
	// the listener's backlog, and the measurement would include reconnects.
	maxOpening = 64
	// heldAnswerTokens is the length of the answers. The engines' token rate must be low enough
	// that no answer ends while its stream is held. Longer answers would fill the engines' memory.
	heldAnswerTokens = 1000
)

// Streams is the measured memory of a process that holds many open streams.
type Streams struct {
	Opened, Failed int
	// Ended is the number of streams that ended while they were held.
	Ended int
	// BeforeKB and HeldKB are the process's resident memory before the streams and with
	// all of them open.
	BeforeKB, HeldKB int
	// LastError is the last error of an attempt to open a stream, in parentheses, or empty.
	LastError string
}

// KBPerStream returns the resident memory that each open stream added on average.
func (s *Streams) KBPerStream() float64 {
	return float64(s.HeldKB-s.BeforeKB) / float64(max(s.Opened, 1))
}

// Write writes the result as text.
func (s *Streams) Write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "streams: %d open, %d failed, %d ended while held %s\n", s.Opened, s.Failed, s.Ended, s.LastError)
	_, _ = fmt.Fprintf(w, "  resident memory %d KB before, %d KB with all open: %.1f KB per stream, %.1f MB per 1,000 streams\n",
		s.BeforeKB, s.HeldKB, s.KBPerStream(), s.KBPerStream()*1000/1024)
}

// HoldStreams opens count streams to a target and holds them for the time hold. It reads the
// resident memory of process pid before it opens them and at the end of that time. The engines
// behind the target need at least count slots.
func HoldStreams(ctx context.Context, options Options, target Target, count, pid int, hold time.Duration) (*Streams, error) {
	s := &Streams{}
	var err error
	if s.BeforeKB, err = ResidentKB(pid); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	bodies := openStreams(ctx, options, target, count, s)
	defer closeBodies(bodies)
	ended := countEnded(bodies)
	sleep(ctx, hold)
	s.Ended = int(ended.Load())
	s.HeldKB, err = ResidentKB(pid)
	return s, err
}

// openStreams opens the streams and waits for the first byte of each.
func openStreams(ctx context.Context, options Options, target Target, count int, s *Streams) []io.ReadCloser {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	opening := pool.NewWithResults[openedStream]().WithMaxGoroutines(maxOpening)
	for i := range count {
		opening.Go(func() openedStream {
			return openStream(ctx, client, options, target, i)
		})
	}
	var bodies []io.ReadCloser
	for _, o := range opening.Wait() {
		if o.err != nil {
			s.Failed++
			s.LastError = "(" + o.err.Error() + ")"
			continue
		}
		s.Opened++
		bodies = append(bodies, o.body)
	}
	return bodies
}

// openedStream is a stream whose first byte has been read, or the error of opening it.
type openedStream struct {
	body io.ReadCloser
	err  error
}

func openStream(ctx context.Context, client *http.Client, options Options, target Target, i int) openedStream {
	id := fmt.Sprintf("stream-%d-%d", options.Seed, i)
	message := enginesim.Message{Role: "user", Content: enginesim.Content(id)}
	body, err := json.Marshal(enginesim.Request{
		Model: options.Model, Stream: true, MaxTokens: heldAnswerTokens, Messages: []enginesim.Message{message},
	})
	if err != nil {
		return openedStream{err: err}
	}
	url := target.URLs[i%len(target.URLs)] + callersim.ChatPath
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return openedStream{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+target.Key)
	r.Header.Set(callersim.ConversationHeader, id)
	response, err := client.Do(r)
	if err != nil {
		return openedStream{err: err}
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return openedStream{err: oops.Errorf("status %d", response.StatusCode)}
	}
	_, err = response.Body.Read(make([]byte, 1))
	return openedStream{response.Body, err}
}

// countEnded reads the streams in the background and returns a count of those that ended.
func countEnded(bodies []io.ReadCloser) *atomic.Int64 {
	ended := &atomic.Int64{}
	for _, body := range bodies {
		go func() {
			_, _ = io.Copy(io.Discard, body)
			ended.Add(1)
		}()
	}
	return ended
}

func closeBodies(bodies []io.ReadCloser) {
	for _, body := range bodies {
		_ = body.Close()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ResidentKB returns the resident memory of a process, from /proc/PID/status.
func ResidentKB(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, oops.Wrap(err)
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb, oops.Wrap(err)
		}
	}
	return 0, oops.Errorf("process %d reports no VmRSS", pid)
}
