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
	// openers bounds the streams that are being opened at once. More would overflow the
	// listener's backlog and measure reconnects.
	openers = 64
	// holdTokens is the length of the answers. The engines' token rate must be low enough
	// that no answer ends while it is held; a longer answer would fill the engines' memory.
	holdTokens = 1000
)

// Streams is what many open streams cost a process.
type Streams struct {
	Opened, Failed int
	// Ended counts streams that ended while they were held.
	Ended int
	// BeforeKB and HeldKB are the process's resident memory before the streams and with
	// all of them open.
	BeforeKB, HeldKB int
	Example          string
}

// KBPerStream returns the memory that each open stream added.
func (s *Streams) KBPerStream() float64 {
	return float64(s.HeldKB-s.BeforeKB) / float64(max(s.Opened, 1))
}

// Write writes the result as text.
func (s *Streams) Write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "streams: %d open, %d failed, %d ended while held %s\n", s.Opened, s.Failed, s.Ended, s.Example)
	_, _ = fmt.Fprintf(w, "  resident memory %d KB before, %d KB with all open: %.1f KB per stream, %.1f MB per 1,000 streams\n",
		s.BeforeKB, s.HeldKB, s.KBPerStream(), s.KBPerStream()*1000/1024)
}

// HoldStreams opens count streams to a target, holds them, and reads the resident memory
// of process pid before and after. The engines behind the target need as many slots.
func HoldStreams(ctx context.Context, options Options, target Target, count, pid int, hold time.Duration) (*Streams, error) {
	s := &Streams{}
	var err error
	if s.BeforeKB, err = ResidentKB(pid); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	bodies := openAll(ctx, options, target, count, s)
	defer closeAll(bodies)
	ended := watch(bodies)
	wait(ctx, hold)
	s.Ended = int(ended.Load())
	s.HeldKB, err = ResidentKB(pid)
	return s, err
}

// openAll opens the streams and waits for the first token of each.
func openAll(ctx context.Context, options Options, target Target, count int, s *Streams) []io.ReadCloser {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	opening := pool.NewWithResults[opened]().WithMaxGoroutines(openers)
	for i := range count {
		opening.Go(func() opened {
			return open(ctx, client, options, target, i)
		})
	}
	var bodies []io.ReadCloser
	for _, o := range opening.Wait() {
		if o.err != nil {
			s.Failed++
			s.Example = "(" + o.err.Error() + ")"
			continue
		}
		s.Opened++
		bodies = append(bodies, o.body)
	}
	return bodies
}

// opened is a stream whose first event has been read, or an error.
type opened struct {
	body io.ReadCloser
	err  error
}

func open(ctx context.Context, client *http.Client, options Options, target Target, i int) opened {
	id := fmt.Sprintf("stream-%d-%d", options.Seed, i)
	message := enginesim.Message{Role: "user", Content: enginesim.Content(id)}
	body, err := json.Marshal(enginesim.Request{
		Model: options.Model, Stream: true, MaxTokens: holdTokens, Messages: []enginesim.Message{message},
	})
	if err != nil {
		return opened{err: err}
	}
	url := target.URLs[i%len(target.URLs)] + callersim.ChatPath
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return opened{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+target.Key)
	r.Header.Set(callersim.ConversationHeader, id)
	response, err := client.Do(r)
	if err != nil {
		return opened{err: err}
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return opened{err: oops.Errorf("status %d", response.StatusCode)}
	}
	_, err = response.Body.Read(make([]byte, 1))
	return opened{response.Body, err}
}

// watch reads the streams on and counts those that end.
func watch(bodies []io.ReadCloser) *atomic.Int64 {
	ended := &atomic.Int64{}
	for _, body := range bodies {
		go func() {
			_, _ = io.Copy(io.Discard, body)
			ended.Add(1)
		}()
	}
	return ended
}

func closeAll(bodies []io.ReadCloser) {
	for _, body := range bodies {
		_ = body.Close()
	}
}

func wait(ctx context.Context, d time.Duration) {
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
