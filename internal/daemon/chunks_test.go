package daemon

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a chunk that the template reads differently from a JSON decoder: with another
// field named content, other fields around it, escape sequences, or a second quote.
func TestTemplateAgreesWithDecoder(t *testing.T) {
	shapes := []string{
		`{"id":"a","choices":[{"index":0,"delta":{"content":%s},"finish_reason":null}]}`,
		`{"choices":[{"delta":{"role":"assistant","content":%s}}],"usage":null}`,
		`{"content":"decoy","choices":[{"delta":{"content":%s}}]}`,
		`{"choices":[{"delta":{"content":%s}}],"usage":{"prompt_tokens_details":{"cached_tokens":3}}}`,
		`{"choices":[{"delta":{"content":"first","content":%s}}]}`,
		`{"choices":[]}`, `{"broken":%s`,
	}
	literals := []string{`"word "`, `""`, `"a\"b"`, `"\u00e9\\"`, `"é 注文"`, "\"\xff\"", `"x","content":"y"`, `null`, `"a\"`, `"`}
	rapid.Check(t, func(t *rapid.T) {
		var fast chatResponder
		text, tokens, cached := "", 0, false
		for range rapid.IntRange(1, 12).Draw(t, "chunks") {
			shape := rapid.SampledFrom(shapes).Draw(t, "shape")
			data := []byte(fmt.Sprintf(shape, rapid.SampledFrom(literals).Draw(t, "literal")))
			fast.scanChunk(data)
			var slow chatChunk
			if json.Unmarshal(data, &slow) != nil {
				continue
			}
			if slow.content() != "" {
				text, tokens = text+slow.content(), tokens+1
			}
			cached = cached || slow.Usage != nil && slow.Usage.Details.CachedTokens > 0
		}
		require.Equal(t, text, fast.deliveredText.String())
		require.Equal(t, tokens, fast.deliveredTokens)
		require.Equal(t, cached, fast.cacheHit)
	})
}
