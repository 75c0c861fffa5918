package enginesim

import "strconv"

// maxLogEntries bounds the number of runs kept in the log. When it is full, the older half is
// dropped.
const maxLogEntries = 200_000

// LogEntry is one request that was run, completely or in part.
type LogEntry struct {
	AttemptID string `json:"attempt_id"`
	// Chat is the value of the X-Chat-Key header.
	Chat string `json:"chat"`
	// Request is the hash of the messages. Runs of the same request share it.
	Request  string `json:"request"`
	Priority int    `json:"priority"`
	// ResumedFrom is the number of tokens after which the run resumed the answer.
	ResumedFrom  int `json:"resumed_from"`
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// Tokens is the number of tokens that this run wrote, without the first ResumedFrom tokens.
	Tokens int `json:"tokens"`
	// Finished reports whether the complete answer was written to an open connection.
	Finished bool `json:"finished"`
	// Ended reports whether the run is over.
	Ended       bool   `json:"ended"`
	Incarnation uint64 `json:"incarnation"`
}

// beginRun adds a run to the log and looks up its prompt in the cache.
func (e *Engine) beginRun(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.log) >= maxLogEntries {
		e.log = append(e.log[:0], e.log[maxLogEntries/2:]...)
	}
	r.entry = &LogEntry{
		AttemptID:    r.attempt,
		Chat:         r.chat,
		Request:      strconv.FormatUint(hashMessages(r.request.Messages), 16),
		Priority:     r.priority,
		ResumedFrom:  r.resumedFrom,
		PromptTokens: PromptTokens(r.request.Messages),
		CachedTokens: e.cache.lookup(hashChain(r.request.Model, r.request.Messages)),
		Incarnation:  e.incarnationNumber,
	}
	r.cachedTokens = r.entry.CachedTokens
	e.log = append(e.log, r.entry)
	e.runs++
}

// endRun caches the conversation of a finished run, completes its log entry and releases its slot.
// Only the first call has an effect. For a finished run it is called before the last bytes are
// written, so that a client that has read the answer sees the final state of the cache, the log
// and the slot.
func (e *Engine) endRun(r *run, finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.entry.Tokens, r.entry.Finished, r.entry.Ended = r.tokensWritten-r.resumedFrom, finished, true
	if finished && e.incarnationNumber == r.entry.Incarnation {
		e.cacheConversation(r)
	}
	e.releaseSlot()
}

// cacheConversation caches the messages and the answer of a run. The caller holds the lock.
func (e *Engine) cacheConversation(r *run) {
	answer := Message{"assistant", Content(AnswerText(r.request.Messages, r.request.MaxTokens))}
	messages := append(r.request.Messages[:len(r.request.Messages):len(r.request.Messages)], answer)
	e.cache.store(hashChain(r.request.Model, messages), r.chat)
}

// markUnfinished corrects the log entry if the last bytes of an answer could not be written.
func (e *Engine) markUnfinished(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.entry.Finished = false
}

// Log returns the runs in the log, in the order of their start.
func (e *Engine) Log() []LogEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	log := make([]LogEntry, len(e.log))
	for i, entry := range e.log {
		log[i] = *entry
	}
	return log
}

// Runs returns the number of runs since the engine was created.
func (e *Engine) Runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}
