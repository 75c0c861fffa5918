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
	// AttemptHeader carries the attempt ID. The answer echoes it.
	AttemptHeader = "X-Attempt-Id"
	// PriorityHeader carries the priority in the engine's queue, lower numbers first.
	PriorityHeader = "X-Priority"
	// ChatHeader carries the chat's key in decimal form.
	ChatHeader = "X-Chat-Key"
	// NotRunHeader is "true" in the response to a request that was not run.
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
	// ContinueFrom is the part of the answer that was already produced, after which to resume.
	ContinueFrom *Produced `json:"continue_from,omitempty"`
}

// Produced is the part of an answer that an earlier run produced.
type Produced struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// run is the execution of one request. tokens is the complete answer. tokensWritten is the length of
// the part that was written or skipped, which includes the first resumedFrom tokens.
type run struct {
	request  Request
	attempt  string
	chat     string
	priority int
	tokens   []string
	// resumedFrom is the number of tokens that were produced before this run.
	resumedFrom    int
	cachedTokens   int
	tokensWritten  int
	ended          bool
	faults         runFaults
	entry          *LogEntry
	incarnationCtx context.Context
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
	e.beginRun(current)
	defer e.endRun(current, false)
	if e.prefill(r, current) {
		e.writeAnswer(w, r, current)
	}
}

// newRun decodes a request. The text to continue from must be a prefix of the answer.
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
	return current, current.skipProduced()
}

// skipProduced checks what was already produced and skips it.
func (r *run) skipProduced() error {
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
	r.resumedFrom, r.tokensWritten = produced.Tokens, produced.Tokens
	return nil
}

// admit takes a slot for the run and returns true, or refuses the request and returns false. It
// breaks the connection if the client disconnects or the engine crashes while the request is queued.
func (e *Engine) admit(w http.ResponseWriter, r *http.Request, current *run) bool {
	if status, reason := e.refusal(current.request.Model); status != 0 {
		refuse(w, status, reason)
		return false
	}
	current.incarnationCtx = e.incarnationContext()
	err := e.acquire(r.Context(), current.incarnationCtx, current.priority)
	switch {
	case errors.Is(err, errFull):
		refuse(w, http.StatusServiceUnavailable, err.Error())
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	return err == nil
}

// refusal returns the status and the reason to refuse a request with, or 0 to accept it. It breaks
// the connection of a crashed engine if restartBreaks is set.
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

// prefill waits until the first token is due. It returns false if the client disconnects before
// that, and breaks the connection if the engine crashes.
func (e *Engine) prefill(r *http.Request, current *run) bool {
	current.faults = e.faultsOfRun(current.request.Messages)
	if !e.waitFor(r, current, e.prefillTime(current)) {
		return false
	}
	if current.faults.crash {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	return true
}

func (e *Engine) prefillTime(current *run) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	uncached := current.entry.PromptTokens - current.cachedTokens + current.resumedFrom
	total := e.options.FirstToken + time.Duration(uncached)*e.options.PrefillPerToken
	return time.Duration(float64(total) * e.faults.slowFactor)
}

// waitFor waits for d. It returns false if the client disconnected. A crash of the engine breaks
// the connection, and a frozen connection stays open without a response.
func (e *Engine) waitFor(r *http.Request, current *run, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	case <-frozen(r):
	case <-current.incarnationCtx.Done():
	}
	return e.checkClient(r, current)
}

// checkClient reports whether the client is still connected. It breaks the connection if the
// engine crashed, and blocks until the client disconnects if the connection is frozen.
func (e *Engine) checkClient(r *http.Request, current *run) bool {
	hangIfFrozen(r)
	if current.incarnationCtx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	return r.Context().Err() == nil
}
