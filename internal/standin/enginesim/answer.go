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

// Content is the text of a message. It decodes from a JSON string or from a list of text parts.
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
	// defaultMinTokens and defaultMaxTokens bound the length of an answer if the request sets none.
	defaultMinTokens = 24
	defaultMaxTokens = 64
	// maxAnswerTokens bounds the length of an answer, because its tokens are held in memory while
	// the request runs.
	maxAnswerTokens = 100_000
	// bytesPerToken is the number of bytes of a prompt that count as one token.
	bytesPerToken = 4
	// messageOverheadTokens is the number of tokens that mark a message's role and end.
	messageOverheadTokens = 4
)

// Answer returns the tokens of the answer to messages. It depends on its arguments only, so that
// a client can compute the expected answer itself. A positive maxTokens sets the length.
func Answer(messages []Message, maxTokens int) []string {
	seed := hashMessages(messages)
	random := rand.New(rand.NewPCG(seed, seed))
	count := defaultMinTokens + random.IntN(defaultMaxTokens-defaultMinTokens+1)
	if maxTokens > 0 {
		count = min(maxTokens, maxAnswerTokens)
	}
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = strconv.FormatUint(random.Uint64N(1<<20), 36) + " "
	}
	tokens[count-1] = "end-" + strconv.FormatUint(seed, 16)
	return tokens
}

// AnswerText returns the tokens of Answer as one string.
func AnswerText(messages []Message, maxTokens int) string {
	return strings.Join(Answer(messages, maxTokens), "")
}

// PromptTokens returns the number of tokens in a prompt of messages.
func PromptTokens(messages []Message) int {
	sum := 0
	for _, message := range messages {
		sum += message.tokens()
	}
	return sum
}

func (m Message) tokens() int {
	return messageOverheadTokens + (len(m.Content)+bytesPerToken-1)/bytesPerToken
}

// hashMessages returns the hash of a request's messages, which seeds the answer and identifies the
// request in the log.
func hashMessages(messages []Message) uint64 {
	parts := make([]string, 0, 2*len(messages))
	for _, message := range messages {
		parts = append(parts, message.Role, string(message.Content))
	}
	return fleet.Hash(parts...)
}

// hashChain returns the hash chain of messages. Each link's hash identifies the prefix of the
// conversation that ends with its message.
func hashChain(model string, messages []Message) []link {
	chain := make([]link, len(messages))
	hash := fleet.Hash("model", model)
	for i, message := range messages {
		hash = fleet.Hash(strconv.FormatUint(hash, 16), message.Role, string(message.Content))
		chain[i] = link{hash, message.tokens()}
	}
	return chain
}
