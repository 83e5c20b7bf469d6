package standin

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPipelineOutputsKeepTheNonce(t *testing.T) {
	body := []byte(`{"nonce":"run-1","size":10,"tokens":3}`)
	encoded := CallOutput("encode", body)
	assert.Equal(t, ParseInput(encoded).Nonce, "run-1")
	texts := GenerateTokens(encoded, 64)
	assert.Equal(t, len(texts), 3)
	fileOutput := CallOutput("file", []byte(strings.Join(texts, "")))
	assert.Equal(t, ParseInput(fileOutput).Nonce, "run-1")
	assert.Assert(t, string(fileOutput) != string(CallOutput("file", []byte("run-1:other"))))
}
