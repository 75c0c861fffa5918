package enginesim

import "strconv"

// maxLog bounds the runs kept in the log. The oldest half is dropped when it is full.
const maxLog = 200_000

// LogEntry is one request that was run, wholly or in part.
type LogEntry struct {
	AttemptID string `json:"attempt_id"`
	// Chat is the value of the X-Chat-Key header.
	Chat string `json:"chat"`
	// Request is the hash of the messages. Runs of the same request share it.
	Request  string `json:"request"`
	Priority int    `json:"priority"`
	// ResumedFrom is the number of tokens that the run continued after.
	ResumedFrom  int `json:"resumed_from"`
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// Tokens is the number of tokens written, those before ResumedFrom not included.
	Tokens int `json:"tokens"`
	// Finished says that the whole answer was written to an open connection.
	Finished bool `json:"finished"`
	// Ended says that the run is over.
	Ended       bool   `json:"ended"`
	Incarnation uint64 `json:"incarnation"`
}

// begin enters a run in the log and reads the cache for its prompt.
func (e *Engine) begin(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.log) >= maxLog {
		e.log = append(e.log[:0], e.log[maxLog/2:]...)
	}
	r.entry = &LogEntry{
		AttemptID:    r.attempt,
		Chat:         r.chat,
		Request:      strconv.FormatUint(digest(r.request.Messages), 16),
		Priority:     r.priority,
		ResumedFrom:  r.from,
		PromptTokens: PromptTokens(r.request.Messages),
		CachedTokens: e.cache.lookup(chainOf(r.request.Model, r.request.Messages)),
		Incarnation:  e.number,
	}
	r.cached = r.entry.CachedTokens
	e.log = append(e.log, r.entry)
	e.runs++
}

// settle ends a run once: it caches the conversation of a finished run, ends its log entry
// and gives back its slot. A finished run settles before its last bytes are written, so
// that a client that has them finds the cache, the log and the slot as they will stay.
func (e *Engine) settle(r *run, finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.settled {
		return
	}
	r.settled = true
	r.entry.Tokens, r.entry.Finished, r.entry.Ended = r.written-r.from, finished, true
	if finished && e.number == r.entry.Incarnation {
		e.remember(r)
	}
	e.passOn()
}

// remember caches the conversation of a run, its answer included. The caller holds the lock.
func (e *Engine) remember(r *run) {
	answer := Message{"assistant", Content(AnswerText(r.request.Messages, r.request.MaxTokens))}
	messages := append(r.request.Messages[:len(r.request.Messages):len(r.request.Messages)], answer)
	e.cache.store(chainOf(r.request.Model, messages), r.chat)
}

// unfinish corrects the log when the last bytes of an answer could not be written.
func (e *Engine) unfinish(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.entry.Finished = false
}

// Log returns the runs so far, in the order of their start.
func (e *Engine) Log() []LogEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	log := make([]LogEntry, len(e.log))
	for i, entry := range e.log {
		log[i] = *entry
	}
	return log
}

// Runs returns the number of runs so far.
func (e *Engine) Runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}
