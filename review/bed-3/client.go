//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stream is what one client got of one stream, over all its tries.
type stream struct {
	name string
	// tries are the attempts with the gateway and the result of each.
	tries []string
	// events holds what was received: the id, the engine and its version.
	events   []event
	complete bool
}

type event struct {
	id              int
	engine, version string
	try             int
}

// versions returns the software versions whose events the stream holds.
func (s *stream) versions() []string {
	var list []string
	for _, e := range s.events {
		if !slices.Contains(list, e.version) {
			list = append(list, e.version)
		}
	}
	return list
}

// streamClient describes the clients of a stream route.
type streamClient struct {
	bed      *bed
	deadline time.Duration
	// retries is the number of further tries, backoff the time before one that got no Retry-After.
	retries int
	backoff time.Duration
	client  *http.Client
}

func newStreamClient(b *bed, deadline time.Duration) *streamClient {
	// Each try uses a new connection.
	return &streamClient{bed: b, deadline: deadline, retries: 3, backoff: 400 * time.Millisecond,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// run requests one stream, first at the gateway with the given number. Further tries go to the others in turn.
func (c *streamClient) run(name string, gateway int) *stream {
	s := &stream{name: name}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	began, resumes := time.Now(), ""
	for try := range c.retries + 1 {
		g := c.bed.gateways[(gateway+try)%len(c.bed.gateways)]
		attempt := fmt.Sprintf("%s%x", name, try)
		wait, result := c.try(ctx, s, g.CallerAddr, attempt, resumes, try, c.deadline-time.Since(began))
		s.tries = append(s.tries, fmt.Sprintf("%s: %s", attempt, result))
		c.bed.logf("client %s at %s: %s", attempt, g.CallerAddr, result)
		if s.complete || ctx.Err() != nil {
			return s
		}
		if resumes == "" && len(s.events) > 0 {
			resumes = attempt
		}
		if wait == 0 {
			wait = c.backoff
		}
		select {
		case <-time.After(min(wait, (c.deadline-time.Since(began))/3)):
		case <-ctx.Done():
			return s
		}
	}
	return s
}

// try makes one attempt and returns the Retry-After that it got.
func (c *streamClient) try(ctx context.Context, s *stream, addr, attempt, resumes string, try int, left time.Duration) (time.Duration, string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/chat/1", strings.NewReader("prompt"))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "depot.example"
	r.Header.Set("X-Attempt-Id", attempt)
	r.Header.Set("X-Deadline-Milliseconds", strconv.FormatInt(left.Milliseconds(), 10))
	r.Header.Set("X-Credential", "key-1")
	if resumes != "" {
		r.Header.Set("Resumes", resumes)
		r.Header.Set("Last-Event-Id", strconv.Itoa(s.events[len(s.events)-1].id))
	}
	res, err := c.client.Do(r)
	if err != nil {
		return 0, "no answer: " + err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		return time.Duration(seconds * float64(time.Second)), fmt.Sprintf("status %d, Retry-After %q", res.StatusCode, res.Header.Get("Retry-After"))
	}
	from := len(s.events)
	err = readEvents(res, s, try)
	result := fmt.Sprintf("%d events", len(s.events)-from)
	if len(s.events) > from {
		first, last := s.events[from], s.events[len(s.events)-1]
		result += fmt.Sprintf(", %d (%s v%s) to %d (%s v%s)", first.id, first.engine, first.version, last.id, last.engine, last.version)
	}
	if err != nil {
		return 0, result + ", then " + err.Error()
	}
	s.complete = true
	return 0, result + ", complete"
}

// readEvents reads the events of an answer until its end. It returns nil if the answer is complete.
func readEvents(res *http.Response, s *stream, try int) error {
	var e event
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			e.id, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			if fields := strings.Fields(line); len(fields) == 4 {
				e.engine, e.version = fields[1], strings.TrimPrefix(fields[2], "v")
			}
		case line == "" && e.id > 0:
			// The event is complete.
			e.try = try
			s.events = append(s.events, e)
			e = event{}
		}
	}
	return lines.Err()
}

// load starts a stream at each interval until the time is over, and returns them all once they have ended.
type load struct {
	wg      sync.WaitGroup
	mu      sync.Mutex
	streams []*stream
}

func (l *load) run(c *streamClient, interval, until time.Duration) {
	for n := 0; time.Since(c.bed.began) < until; n++ {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			s := c.run(fmt.Sprintf("%08x", 0x10000000+n*16), n%len(c.bed.gateways))
			l.mu.Lock()
			defer l.mu.Unlock()
			l.streams = append(l.streams, s)
		}()
		time.Sleep(interval)
	}
}

// joined returns the streams that hold events of several versions.
func (l *load) joined() []*stream {
	var list []*stream
	for _, s := range l.streams {
		if len(s.versions()) > 1 {
			list = append(list, s)
		}
	}
	return list
}

// reportStreams writes the streams that hold events of several versions to the record and returns their number.
func (b *bed) reportStreams(l *load) int {
	joined := l.joined()
	complete := 0
	for _, s := range l.streams {
		if s.complete {
			complete++
		}
	}
	b.logf("%d streams, %d complete, %d with events of several software versions", len(l.streams), complete, len(joined))
	for _, s := range joined {
		text := ""
		for i, e := range s.events {
			if i == 0 || e.version != s.events[i-1].version || e.engine != s.events[i-1].engine {
				text += fmt.Sprintf(" [try %d, from event %d: %s v%s]", e.try, e.id, e.engine, e.version)
			}
		}
		b.logf("stream %s:%s", s.name, text)
	}
	return len(joined)
}
