package demo

import (
	"sync"

	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
)

// maxDetails bounds the details kept for the report.
const maxDetails = 10

// tally counts the results of calls.
type tally struct {
	mu sync.Mutex
	// answered, wrong, lost and unknown count final results.
	answered, wrong, lost, unknown int
	// refused counts resends after not_run, cutByKill resends after another failure at the killed
	// instance, and cutOff resends after any other failure.
	refused, cutByKill, cutOff int
	// ordersSentTwice counts orders that were sent to two instances at the same time, and
	// differingOrders those of them whose two answers differ.
	ordersSentTwice, differingOrders int
	// returningChats counts answered chats with a prefix from an earlier turn, and fullyCachedChats
	// those of them whose prefix was completely cached.
	returningChats, fullyCachedChats int
	promptTokens, cachedTokens       int
	details                          []string
}

// addChat counts the result of a chat. knownTokens is the length of the prompt of the previous turn,
// which the engine that served that turn has cached.
func (t *tally) addChat(result callersim.ChatResult, knownTokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addResult(result.Kind, result.Detail)
	if result.Kind != callersim.Complete || knownTokens == 0 {
		return
	}
	t.returningChats++
	t.promptTokens += result.Usage.PromptTokens
	t.cachedTokens += result.Usage.PromptTokensDetails.CachedTokens
	if result.Usage.PromptTokensDetails.CachedTokens >= knownTokens {
		t.fullyCachedChats++
	}
}

func (t *tally) addOrder(result callersim.CallResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addResult(result.Kind, result.Detail)
}

// addResult counts a final result. The caller holds the lock.
func (t *tally) addResult(kind callersim.Kind, detail string) {
	switch kind {
	case callersim.Complete:
		t.answered++
	case callersim.WrongAnswer:
		t.wrong++
		t.addDetail("wrong: " + detail)
	case callersim.Unknown:
		t.unknown++
	default:
		t.lost++
		t.addDetail("lost: " + string(kind) + " " + detail)
	}
}

// addSkipped counts turns that were not sent because an earlier turn got no answer.
func (t *tally) addSkipped(turns int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost += turns
}

// addResend counts a failure after which the caller sends again. killed says that it was at the killed
// instance.
func (t *tally) addResend(kind callersim.Kind, killed bool, detail string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case kind == callersim.NotRun:
		t.refused++
	case killed:
		t.cutByKill++
	default:
		t.cutOff++
		t.addDetail("cut off: " + string(kind) + " " + detail)
	}
}

// compareDuplicates compares the two answers to an order that was sent to two instances.
func (t *tally) compareDuplicates(first, second callersim.CallResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ordersSentTwice++
	if first.Kind == callersim.Complete && second.Kind == callersim.Complete && first.Receipt != second.Receipt {
		t.differingOrders++
		t.addDetail("doubled order " + first.Receipt.Key + " has two answers")
	}
}

func (t *tally) addDetail(detail string) {
	if len(t.details) < maxDetails {
		t.details = append(t.details, detail)
	}
}
