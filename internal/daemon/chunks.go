package daemon

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

var (
	contentField = []byte(`"content":`)
	// probeLiteral replaces the content of a chunk to check a template. It decodes to probeContent.
	probeLiteral = []byte(`"\u0001probe"`)
)

const probeContent = "\u0001probe"

// chatChunk is the part of a streamed chunk or an unstreamed response that the router reads.
type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Details struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (c *chatChunk) content() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

// chunkTemplate is the part of a stream's chunks before and after their content. Most chunks of a
// stream differ only in their content, and decoding each of them as JSON takes half of the
// router's time per token.
type chunkTemplate struct {
	prefix, suffix []byte
	// examined tells that a chunk with content was examined, whether or not it gave a template.
	examined bool
}

// content returns the content of a chunk that matches the template. It returns false for any
// other chunk and for content with escape sequences, which has to be decoded.
func (t *chunkTemplate) content(data []byte) ([]byte, bool) {
	if t.prefix == nil || len(data) < len(t.prefix)+len(t.suffix)+2 {
		return nil, false
	}
	if !bytes.HasPrefix(data, t.prefix) || !bytes.HasSuffix(data, t.suffix) {
		return nil, false
	}
	literal := data[len(t.prefix) : len(data)-len(t.suffix)]
	text := literal[1 : len(literal)-1]
	if literal[0] != '"' || literal[len(literal)-1] != '"' || !isUnescaped(text) {
		return nil, false
	}
	return text, true
}

// isUnescaped reports whether the text between the quotes of a JSON string equals the decoded
// string: valid UTF-8 without control characters, quotes and backslashes.
func isUnescaped(text []byte) bool {
	for _, b := range text {
		if b < 0x20 || b == '"' || b == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}

// derive sets the template from the first chunk with content. It replaces the content by a probe
// and checks that the chunk then decodes to the probe, so that another field named "content" in
// the chunk is not taken for it.
func (t *chunkTemplate) derive(data []byte, chunk *chatChunk) {
	if t.examined || chunk.content() == "" || chunk.Usage != nil {
		return
	}
	t.examined = true
	field := bytes.Index(data, contentField)
	if field < 0 {
		return
	}
	start := field + len(contentField)
	end := literalEnd(data, start)
	if end < 0 {
		return
	}
	probe := bytes.Join([][]byte{data[:start], probeLiteral, data[end:]}, nil)
	var check chatChunk
	if json.Unmarshal(probe, &check) == nil && check.content() == probeContent && check.Usage == nil {
		t.prefix, t.suffix = bytes.Clone(data[:start]), bytes.Clone(data[end:])
	}
}

// literalEnd returns the index after the JSON string that starts at start, or -1.
func literalEnd(data []byte, start int) int {
	if start >= len(data) || data[start] != '"' {
		return -1
	}
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return -1
}
