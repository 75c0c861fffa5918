package enginesim

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Message is one message of a conversation.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. It decodes from a string or from a list of text parts.
type Content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *Content) UnmarshalJSON(data []byte) error {
	var parts []struct {
		Text string `json:"text"`
	}
	if len(data) == 0 || data[0] != '[' {
		return json.Unmarshal(data, (*string)(c))
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	for _, part := range parts {
		*c += Content(part.Text)
	}
	return nil
}

const (
	// shortestAnswer and longestAnswer bound the tokens of an answer without a set length.
	shortestAnswer = 24
	longestAnswer  = 64
	// maxAnswer bounds an answer, as its tokens are held in memory while it runs.
	maxAnswer = 100_000
	// bytesPerToken is the mean length of a token of a prompt.
	bytesPerToken = 4
	// messageOverhead is the number of tokens that mark a message's role and end.
	messageOverhead = 4
)

// Answer returns the tokens of the answer to messages. The answer depends on the messages
// only, so that a client can check it on its own. A positive maxTokens sets its length.
func Answer(messages []Message, maxTokens int) []string {
	seed := digest(messages)
	random := rand.New(rand.NewPCG(seed, seed))
	count := shortestAnswer + random.IntN(longestAnswer-shortestAnswer+1)
	if maxTokens > 0 {
		count = min(maxTokens, maxAnswer)
	}
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = strconv.FormatUint(random.Uint64N(1<<20), 36) + " "
	}
	tokens[count-1] = "end-" + strconv.FormatUint(seed, 16)
	return tokens
}

// AnswerText returns the text of Answer.
func AnswerText(messages []Message, maxTokens int) string {
	return strings.Join(Answer(messages, maxTokens), "")
}

// PromptTokens returns the number of tokens of messages.
func PromptTokens(messages []Message) int {
	sum := 0
	for _, message := range messages {
		sum += message.tokens()
	}
	return sum
}

func (m Message) tokens() int {
	return messageOverhead + (len(m.Content)+bytesPerToken-1)/bytesPerToken
}

// digest is the hash of messages. It names a request in the log.
func digest(messages []Message) uint64 {
	parts := make([]string, 0, 2*len(messages))
	for _, message := range messages {
		parts = append(parts, message.Role, string(message.Content))
	}
	return fleet.Hash(parts...)
}

// chainOf returns the hash chain of messages: each link stands for a prefix.
func chainOf(model string, messages []Message) []link {
	chain := make([]link, len(messages))
	hash := fleet.Hash("model", model)
	for i, message := range messages {
		hash = fleet.Hash(strconv.FormatUint(hash, 16), message.Role, string(message.Content))
		chain[i] = link{hash, message.tokens()}
	}
	return chain
}
