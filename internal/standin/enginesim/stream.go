package enginesim

import (
	"net/http"
	"strings"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

// Usage is the token count of an answer. CompletionTokens counts the whole answer, also
// the part before a continuation.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails says how much of a prompt was cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Completion is a whole answer or one chunk of a streamed one.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the only choice of a completion. Message is set in a whole answer, Delta in a
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

// answer decodes the run and writes its answer, streamed or whole.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, current *run) {
	current.cross()
	w.Header().Set(AttemptHeader, current.attempt)
	// The first token comes from the prefill, the batch produces the others.
	s := e.join(min(current.from+1, len(current.tokens)), len(current.tokens))
	defer e.leave(s)
	if current.request.Stream {
		e.stream(w, r, current, s)
		return
	}
	e.whole(w, r, current, s)
}

// cross turns the run into the answer to another request, if a fault says so.
func (r *run) cross() {
	if !r.plan.crossed {
		return
	}
	r.attempt = "crossed-" + r.attempt
	other := []Message{{Role: "user", Content: Content(r.attempt)}}
	r.tokens = Answer(other, r.request.MaxTokens)
	r.from, r.written = min(r.from, len(r.tokens)), min(r.written, len(r.tokens))
}

// next waits for tokens beyond those written. It returns how many tokens there are, or
// false when the client has gone.
func (e *Engine) next(r *http.Request, current *run, s *sequence) (int, bool) {
	for {
		if produced := e.producedOf(s); produced > current.written || produced == s.total {
			return produced, e.alive(r, current)
		}
		select {
		case <-s.wake:
		case <-r.Context().Done():
		case <-frozen(r):
		case <-current.life.Done():
		}
		if !e.alive(r, current) {
			return 0, false
		}
	}
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, current *run, s *sequence) {
	for current.written < len(current.tokens) {
		produced, ok := e.next(r, current, s)
		if !ok {
			return
		}
		current.written = produced
	}
	text := strings.Join(current.tokens[current.from:], "")
	message := &Message{"assistant", Content(text)}
	completion := current.completion("chat.completion", Choice{Message: message, FinishReason: &stop})
	completion.Usage = current.usage()
	e.settle(current, true)
	simutil.WriteJSON(w, http.StatusOK, completion)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, current *run, s *sequence) {
	out := newChunkWriter(w, current)
	for current.written < len(current.tokens) {
		produced, ok := e.next(r, current, s)
		if !ok {
			return
		}
		limit, cut := current.cut(produced)
		if !out.tokens(current.tokens[current.written:limit]) {
			return
		}
		current.written = limit
		if cut {
			current.breakOff()
			return
		}
	}
	e.settle(current, true)
	if !out.done() {
		e.unfinish(current)
	}
}

// cut returns how many of the produced tokens to write, and whether a fault ends the
// stream after them.
func (r *run) cut(produced int) (limit int, cut bool) {
	limit = produced
	for _, after := range []int{r.plan.breakAfter, r.plan.endAfter} {
		if after >= 0 && limit >= r.from+after {
			limit, cut = r.from+after, true
		}
	}
	return limit, cut
}

// breakOff breaks the connection if that fault is set. Otherwise the stream ends cleanly.
func (r *run) breakOff() {
	if r.plan.breakAfter >= 0 {
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
		PromptTokensDetails: PromptDetails{CachedTokens: r.cached},
	}
}
