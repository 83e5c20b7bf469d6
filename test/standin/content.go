package standin

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Input holds the fields that the stand-ins read from the input of a call. Every output
// repeats these fields, so that the output of a whole pipeline depends only on the
// caller's request body.
type Input struct {
	// Nonce identifies the caller's request in the execution records.
	Nonce string `json:"nonce"`
	// PaddingBytes is the number of padding bytes in the result of each non-streaming
	// call.
	PaddingBytes int `json:"size,omitempty"`
	// MaxTokens limits the number of generated tokens if it is lower than the limit of the
	// stage; 0 means no limit.
	MaxTokens int `json:"tokens,omitempty"`
	// ExtraTimeMS is added to the processing time of each non-streaming call, in
	// milliseconds.
	ExtraTimeMS int `json:"work_ms,omitempty"`
}

// callResult is the output of a non-streaming call. InputHash is the hash of the whole
// input.
type callResult struct {
	Input
	Call      string `json:"call"`
	InputHash string `json:"source"`
	Padding   string `json:"pad,omitempty"`
}

// ParseInput parses the input of a call: a JSON object, or generated text that starts
// with the nonce and a colon.
func ParseInput(b []byte) Input {
	var in Input
	if json.Unmarshal(b, &in) == nil {
		return in
	}
	nonce, _, _ := strings.Cut(string(b), ":")
	return Input{Nonce: nonce}
}

// CallOutput returns the result of a non-streaming call.
func CallOutput(call string, input []byte) []byte {
	in := ParseInput(input)
	res := callResult{Input: in, Call: call, InputHash: hash(input), Padding: strings.Repeat("x", in.PaddingBytes)}
	output, err := json.Marshal(res)
	if err != nil {
		panic(err)
	}
	return output
}

// GenerateTokens returns the text of each token that an engine generates for an input.
func GenerateTokens(input []byte, maxTokens int) []string {
	in := ParseInput(input)
	limit := maxTokens
	if in.MaxTokens > 0 && (limit <= 0 || in.MaxTokens < limit) {
		limit = in.MaxTokens
	}
	inputHash := hash(input)
	texts := make([]string, 0, limit)
	for i := range limit {
		texts = append(texts, fmt.Sprintf("%s:%s:%d ", in.Nonce, inputHash, i))
	}
	return texts
}

func hash(b []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(b)) }
