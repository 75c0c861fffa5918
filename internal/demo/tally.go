package demo

import (
	"sync"

	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
)

// maxDetails bounds the details kept for the report.
const maxDetails = 10

// tally counts how calls end.
type tally struct {
	mu sync.Mutex
	// answered, wrong, lost and unknown count final results.
	answered, wrong, lost, unknown int
	// refused counts resends after not_run. cutByKill counts those that the killed instance
	// caused, and cutOff those without such a cause.
	refused, cutByKill, cutOff int
	// differing counts doubled orders whose two answers differ.
	doubledSends, differing int
	// returns are chats with a known prefix; reused ones found all of it cached.
	returns, reused          int
	promptTokens, cachedToks int
	details                  []string
}

// chat counts the end of a chat. known is the length of the prompt of the turn before, of
// which an engine that served it holds the prefix.
func (t *tally) chat(result callersim.ChatResult, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(result.Kind, result.Detail)
	if result.Kind != callersim.OK || known == 0 {
		return
	}
	t.returns++
	t.promptTokens += result.Usage.PromptTokens
	t.cachedToks += result.Usage.PromptTokensDetails.CachedTokens
	if result.Usage.PromptTokensDetails.CachedTokens >= known {
		t.reused++
	}
}

func (t *tally) order(result callersim.CallResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(result.Kind, result.Detail)
}

// end counts a final result. The caller holds the lock.
func (t *tally) end(kind callersim.Kind, detail string) {
	switch kind {
	case callersim.OK:
		t.answered++
	case callersim.Wrong:
		t.wrong++
		t.note("wrong: " + detail)
	case callersim.Unknown:
		t.unknown++
	default:
		t.lost++
		t.note("lost: " + string(kind) + " " + detail)
	}
}

// skip counts turns that were not asked because an earlier turn had no answer.
func (t *tally) skip(turns int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost += turns
}

// resend counts a result that made the caller send again.
func (t *tally) resend(kind callersim.Kind, killed bool, detail string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case kind == callersim.NotRun:
		t.refused++
	case killed:
		t.cutByKill++
	default:
		t.cutOff++
		t.note("cut off: " + string(kind) + " " + detail)
	}
}

// resent compares the two answers to a doubled order.
func (t *tally) resent(first, second callersim.CallResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.doubledSends++
	if first.Kind == callersim.OK && second.Kind == callersim.OK && first.Receipt != second.Receipt {
		t.differing++
		t.note("doubled order " + first.Receipt.Key + " has two answers")
	}
}

func (t *tally) note(detail string) {
	if len(t.details) < maxDetails {
		t.details = append(t.details, detail)
	}
}
