package standin

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Input is what the stand-ins read from their input. Every output carries the
// same fields on, so that a whole pipeline is a function of the caller's body.
type Input struct {
	// Nonce names the caller's request in the executions that are recorded.
	Nonce string `json:"nonce"`
	// Size is the number of padding bytes of each result that is not generated.
	Size int `json:"size,omitempty"`
	// Tokens bounds the generation below the stage's own bound.
	Tokens int `json:"tokens,omitempty"`
	// WorkMS is added to the time of each plain call, in milliseconds.
	WorkMS int `json:"work_ms,omitempty"`
}

// result is the output of a plain call. Source is the hash of its whole input.
type result struct {
	Input
	Call   string `json:"call"`
	Source string `json:"source"`
	Pad    string `json:"pad,omitempty"`
}

// ParseInput reads an input: a JSON object, or generated text that starts with
// the nonce and a colon.
func ParseInput(b []byte) Input {
	var in Input
	if json.Unmarshal(b, &in) == nil {
		return in
	}
	nonce, _, _ := strings.Cut(string(b), ":")
	return Input{Nonce: nonce}
}

// CallOutput returns the result of a plain call.
func CallOutput(call string, input []byte) []byte {
	in := ParseInput(input)
	r := result{Input: in, Call: call, Source: hash(input), Pad: strings.Repeat("x", in.Size)}
	out, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return out
}

// Generate returns the texts that an engine generates, one for each token.
func Generate(input []byte, maxTokens int) []string {
	in := ParseInput(input)
	n := maxTokens
	if in.Tokens > 0 && (n <= 0 || in.Tokens < n) {
		n = in.Tokens
	}
	source := hash(input)
	texts := make([]string, 0, n)
	for i := range n {
		texts = append(texts, fmt.Sprintf("%s:%s:%d ", in.Nonce, source, i))
	}
	return texts
}

func hash(b []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(b)) }
