package daemon

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

var (
	contentField = []byte(`"content":`)
	// contentProbe stands in for a chunk's content while a template is checked.
	contentProbe = []byte(`"\u0001probe"`)
)

const decodedProbe = "\u0001probe"

// chatChunk is the part of a streamed chunk or an unstreamed answer that the router reads.
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

// chunkTemplate is the text of a stream's chunks around their content. The chunks of a
// stream mostly differ in their content alone, and decoding each as JSON takes half of the
// router's time per token.
type chunkTemplate struct {
	prefix, suffix []byte
	// tried tells that a chunk with content was examined, successfully or not.
	tried bool
}

// content returns the content literal's text of a chunk that fits the template. It returns
// false for any other chunk and for content with escapes, which need a decoder.
func (t *chunkTemplate) content(data []byte) ([]byte, bool) {
	if t.prefix == nil || len(data) < len(t.prefix)+len(t.suffix)+2 {
		return nil, false
	}
	if !bytes.HasPrefix(data, t.prefix) || !bytes.HasSuffix(data, t.suffix) {
		return nil, false
	}
	literal := data[len(t.prefix) : len(data)-len(t.suffix)]
	text := literal[1 : len(literal)-1]
	if literal[0] != '"' || literal[len(literal)-1] != '"' || !isPlain(text) {
		return nil, false
	}
	return text, true
}

// isPlain reports whether the inside of a JSON string stands for itself: UTF-8 without
// control characters, quotes and backslashes.
func isPlain(text []byte) bool {
	for _, b := range text {
		if b < 0x20 || b == '"' || b == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}

// learn takes the template from a decoded chunk with content. The chunk with a probe in
// place of the content must decode to the probe, so that a field of the same name elsewhere
// in the chunk is not taken for the content.
func (t *chunkTemplate) learn(data []byte, chunk *chatChunk) {
	if t.tried || chunk.content() == "" || chunk.Usage != nil {
		return
	}
	t.tried = true
	at := bytes.Index(data, contentField)
	if at < 0 {
		return
	}
	start := at + len(contentField)
	end := literalEnd(data, start)
	if end < 0 {
		return
	}
	probe := bytes.Join([][]byte{data[:start], contentProbe, data[end:]}, nil)
	var check chatChunk
	if json.Unmarshal(probe, &check) == nil && check.content() == decodedProbe && check.Usage == nil {
		t.prefix, t.suffix = bytes.Clone(data[:start]), bytes.Clone(data[end:])
	}
}

// literalEnd returns the end of the JSON string that starts at start, or -1.
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
