package enginesim

import (
	"encoding/json"
	"net/http"
)

// chunkWriter writes the server-sent events of one streamed answer.
type chunkWriter struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	run     *run
	buffer  []byte
	// before and after are the encoded parts of a chunk around the text of its token. Encoding
	// them once keeps the engine's cost per token small in load tests.
	before, after []byte
}

func newChunkWriter(w http.ResponseWriter, current *run) *chunkWriter {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	c := &chunkWriter{w: w, flusher: http.NewResponseController(w), run: current}
	template := current.completion(chunkObject)
	template.Choices = nil
	text, _ := json.Marshal(template)
	c.before = append([]byte("data: "), text[:len(text)-len(`null}`)]...)
	c.before = append(c.before, `[{"index":0,"delta":{"role":"assistant","content":`...)
	c.after = []byte("},\"finish_reason\":null}]}\n\n")
	return c
}

const chunkObject = "chat.completion.chunk"

// writeTokens writes one chunk for each token and flushes once.
func (c *chunkWriter) writeTokens(tokens []string) bool {
	c.buffer = c.buffer[:0]
	for _, token := range tokens {
		text, _ := json.Marshal(token)
		c.buffer = append(c.buffer, c.before...)
		c.buffer = append(c.buffer, text...)
		c.buffer = append(c.buffer, c.after...)
	}
	return c.flush()
}

// writeEnd writes the last chunks: the finish reason, the usage and [DONE].
func (c *chunkWriter) writeEnd() bool {
	last := c.run.completion(chunkObject, Choice{Delta: &Delta{}, FinishReason: &stop})
	usage := c.run.completion(chunkObject)
	usage.Usage = c.run.usage()
	c.buffer = c.buffer[:0]
	for _, chunk := range []Completion{last, usage} {
		text, _ := json.Marshal(chunk)
		c.buffer = append(c.buffer, "data: "...)
		c.buffer = append(c.buffer, text...)
		c.buffer = append(c.buffer, "\n\n"...)
	}
	c.buffer = append(c.buffer, "data: [DONE]\n\n"...)
	return c.flush()
}

func (c *chunkWriter) flush() bool {
	if _, err := c.w.Write(c.buffer); err != nil {
		return false
	}
	return c.flusher.Flush() == nil
}
