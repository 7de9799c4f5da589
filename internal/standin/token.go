package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the length of one prompt token in bytes.
const BytesPerToken = 4

// Token returns the text of token i of the answer of a model to a prompt. The
// text depends only on the arguments, so that a test can predict every answer.
func Token(model, prompt string, i int) string { return newSeed(model, prompt).token(i) }

// Answer returns the first n tokens of the answer of a model to a prompt.
func Answer(model, prompt string, n int) string { return newSeed(model, prompt).text(0, n) }

// PromptTokens returns the length of a prompt in tokens.
func PromptTokens(prompt string) int { return (len(prompt) + BytesPerToken - 1) / BytesPerToken }

// seed is a hash of a model and a prompt; it determines the text of the answer.
type seed uint64

func newSeed(model, prompt string) seed {
	return seed(xxhash.Sum64String(model + "\x00" + prompt))
}

func (s seed) token(i int) string {
	mixed := (uint64(s) + uint64(i)*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
	return fmt.Sprintf("%03x ", (mixed^mixed>>33)&0xfff)
}

// text returns the tokens in the half-open range [first, end).
func (s seed) text(first, end int) string {
	var b strings.Builder
	for i := first; i < end; i++ {
		b.WriteString(s.token(i))
	}
	return b.String()
}
