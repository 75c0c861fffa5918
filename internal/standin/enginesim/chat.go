package enginesim

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

const (
	// AttemptHeader names the attempt. The answer echoes it.
	AttemptHeader = "X-Attempt-Id"
	// PriorityHeader is a number; lower numbers go first in the engine's queue.
	PriorityHeader = "X-Priority"
	// ChatHeader is the chat's key in decimal form.
	ChatHeader = "X-Chat-Key"
	// NotRunHeader is "true" in the answer to a request that was not run.
	NotRunHeader = "X-Not-Run"
	// maxRequestBytes bounds the body of a chat request.
	maxRequestBytes = 16 << 20
)

// Request is the body of a chat request. Other fields are ignored.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// ContinueFrom resumes an answer after what was already produced of it.
	ContinueFrom *Produced `json:"continue_from,omitempty"`
}

// Produced is the beginning of an answer.
type Produced struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// run is one request on its way through the engine.
type run struct {
	request  Request
	attempt  string
	chat     string
	priority int
	tokens   []string
	// from is the number of tokens that were produced before this run.
	from    int
	cached  int
	written int
	settled bool
	plan    plan
	entry   *LogEntry
	life    context.Context
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	current, err := newRun(r)
	if err != nil {
		simutil.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !e.admit(w, r, current) {
		return
	}
	e.begin(current)
	defer e.settle(current, false)
	if e.prefill(r, current) {
		e.answer(w, r, current)
	}
}

// newRun reads a request. A continuation must start with the beginning of the answer.
func newRun(r *http.Request) (*run, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return nil, err
	}
	current := &run{attempt: r.Header.Get(AttemptHeader), chat: r.Header.Get(ChatHeader)}
	if err := json.Unmarshal(body, &current.request); err != nil {
		return nil, err
	}
	if len(current.request.Messages) == 0 {
		return nil, errors.New("messages must be set")
	}
	current.priority, _ = strconv.Atoi(r.Header.Get(PriorityHeader))
	current.tokens = Answer(current.request.Messages, current.request.MaxTokens)
	return current, current.resume()
}

// resume skips the tokens that were already produced.
func (r *run) resume() error {
	produced := r.request.ContinueFrom
	if produced == nil {
		return nil
	}
	if produced.Tokens < 0 || produced.Tokens > len(r.tokens) {
		return errors.New("continue_from.tokens is not within the answer")
	}
	if strings.Join(r.tokens[:produced.Tokens], "") != produced.Text {
		return errors.New("continue_from.text is not the beginning of the answer")
	}
	r.from, r.written = produced.Tokens, produced.Tokens
	return nil
}

// admit takes a slot for the run, or refuses the request and returns false.
func (e *Engine) admit(w http.ResponseWriter, r *http.Request, current *run) bool {
	if status, reason := e.refusal(current.request.Model); status != 0 {
		refuse(w, status, reason)
		return false
	}
	current.life = e.lifetime()
	err := e.acquire(r.Context(), current.life, current.priority)
	switch {
	case errors.Is(err, errFull):
		refuse(w, http.StatusServiceUnavailable, err.Error())
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	return err == nil
}

// refusal returns the status and the reason to refuse a request, or 0.
func (e *Engine) refusal(model string) (status int, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.crashed && e.faults.restartBreaks:
		panic(http.ErrAbortHandler)
	case e.crashed:
		return http.StatusServiceUnavailable, "restarting"
	case e.faults.refuse:
		return http.StatusServiceUnavailable, "refusing"
	case e.faults.draining:
		return http.StatusServiceUnavailable, "draining"
	case e.loading:
		return http.StatusServiceUnavailable, "loading"
	case !e.serves(model):
		return http.StatusNotFound, "unknown model " + model
	}
	return 0, ""
}

func (e *Engine) serves(model string) bool {
	return e.options.Model == "" || model == e.options.Model || slices.Contains(e.options.Adapters, model)
}

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(NotRunHeader, "true")
	simutil.WriteError(w, status, reason)
}

// prefill waits for the first token. It returns false when the run ends before it.
func (e *Engine) prefill(r *http.Request, current *run) bool {
	current.plan = e.planFor(current.request.Messages)
	if !e.wait(r, current, e.prefillTime(current)) {
		return false
	}
	if current.plan.crash {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	return true
}

func (e *Engine) prefillTime(current *run) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	uncached := current.entry.PromptTokens - current.cached + current.from
	total := e.options.FirstToken + time.Duration(uncached)*e.options.PrefillPerToken
	return time.Duration(float64(total) * e.faults.slow)
}

// wait lets time pass. It returns false when the client has gone. A crash breaks the
// connection, and a frozen connection stays silent.
func (e *Engine) wait(r *http.Request, current *run, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	case <-frozen(r):
	case <-current.life.Done():
	}
	return e.alive(r, current)
}

// alive reports whether the client is still there.
func (e *Engine) alive(r *http.Request, current *run) bool {
	hang(r)
	if current.life.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	return r.Context().Err() == nil
}
