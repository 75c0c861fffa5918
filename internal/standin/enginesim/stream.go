package enginesim

import (
	"net/http"
	"strings"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

// Usage holds the token counts of an answer. CompletionTokens counts the complete answer,
// including the part before a continuation.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails holds the number of prompt tokens that were cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Completion is a complete answer or one chunk of a streamed answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the only choice of a completion. Message is set in a complete answer, Delta in a
// chunk.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// writeAnswer decodes the run and writes its answer, streamed or as one completion.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, current *run) {
	current.swapAnswer()
	w.Header().Set(AttemptHeader, current.attempt)
	// The prefill produces the first token, the batch the others.
	s := e.joinBatch(min(current.resumedFrom+1, len(current.tokens)), len(current.tokens))
	defer e.leaveBatch(s)
	if current.request.Stream {
		e.writeStream(w, r, current, s)
		return
	}
	e.writeCompletion(w, r, current, s)
}

// swapAnswer replaces the run's answer and attempt ID by those of another request if that fault
// applies.
func (r *run) swapAnswer() {
	if !r.faults.wrongAnswer {
		return
	}
	r.attempt = "crossed-" + r.attempt
	other := []Message{{Role: "user", Content: Content(r.attempt)}}
	r.tokens = Answer(other, r.request.MaxTokens)
	r.resumedFrom, r.tokensWritten = min(r.resumedFrom, len(r.tokens)), min(r.tokensWritten, len(r.tokens))
}

// awaitTokens waits for tokens beyond those written and returns the number of tokens produced. It
// returns false if the client disconnected.
func (e *Engine) awaitTokens(r *http.Request, current *run, s *sequence) (int, bool) {
	for {
		if produced := e.producedTokens(s); produced > current.tokensWritten || produced == s.total {
			return produced, e.checkClient(r, current)
		}
		select {
		case <-s.wake:
		case <-r.Context().Done():
		case <-frozen(r):
		case <-current.incarnationCtx.Done():
		}
		if !e.checkClient(r, current) {
			return 0, false
		}
	}
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, current *run, s *sequence) {
	for current.tokensWritten < len(current.tokens) {
		produced, ok := e.awaitTokens(r, current, s)
		if !ok {
			return
		}
		current.tokensWritten = produced
	}
	text := strings.Join(current.tokens[current.resumedFrom:], "")
	message := &Message{"assistant", Content(text)}
	completion := current.completion("chat.completion", Choice{Message: message, FinishReason: &stop})
	completion.Usage = current.usage()
	e.endRun(current, true)
	simutil.WriteJSON(w, http.StatusOK, completion)
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, current *run, s *sequence) {
	out := newChunkWriter(w, current)
	for current.tokensWritten < len(current.tokens) {
		produced, ok := e.awaitTokens(r, current, s)
		if !ok {
			return
		}
		limit, cut := current.limitTokens(produced)
		if !out.writeTokens(current.tokens[current.tokensWritten:limit]) {
			return
		}
		current.tokensWritten = limit
		if cut {
			current.abortIfBreakFault()
			return
		}
	}
	e.endRun(current, true)
	if !out.writeEnd() {
		e.markUnfinished(current)
	}
}

// limitTokens returns how many of the produced tokens to write, and whether a fault ends the
// stream after them.
func (r *run) limitTokens(produced int) (limit int, cut bool) {
	limit = produced
	for _, after := range []int{r.faults.breakAfter, r.faults.endAfter} {
		if after >= 0 && limit >= r.resumedFrom+after {
			limit, cut = r.resumedFrom+after, true
		}
	}
	return limit, cut
}

// abortIfBreakFault breaks the connection if that fault applies. Otherwise it returns, so that the
// HTTP response ends normally.
func (r *run) abortIfBreakFault() {
	if r.faults.breakAfter >= 0 {
		panic(http.ErrAbortHandler)
	}
}

var stop = "stop"

func (r *run) completion(object string, choices ...Choice) Completion {
	if choices == nil {
		choices = []Choice{}
	}
	return Completion{ID: "chatcmpl-" + r.attempt, Object: object, Model: r.request.Model, Choices: choices}
}

func (r *run) usage() *Usage {
	prompt := PromptTokens(r.request.Messages)
	return &Usage{
		PromptTokens:        prompt,
		CompletionTokens:    len(r.tokens),
		TotalTokens:         prompt + len(r.tokens),
		PromptTokensDetails: PromptDetails{CachedTokens: r.cachedTokens},
	}
}
