package standin

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestOutputsCarryTheNonceThroughAPipeline(t *testing.T) {
	body := []byte(`{"nonce":"run-1","size":10,"tokens":3}`)
	encoded := CallOutput("encode", body)
	assert.Equal(t, ParseInput(encoded).Nonce, "run-1")
	texts := Generate(encoded, 64)
	assert.Equal(t, len(texts), 3)
	filed := CallOutput("file", []byte(strings.Join(texts, "")))
	assert.Equal(t, ParseInput(filed).Nonce, "run-1")
	assert.Assert(t, string(filed) != string(CallOutput("file", []byte("run-1:other"))))
}
