package result

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const docHeader = `# Result codes

Every refusal and failure carries one of these numbers. ` + "`ran`" + ` says whether any stage was executed; where it varies, the answer
states the value. Repeating a request is safe if and only if the answer's ` + "`effects`" + ` is ` + "`no`" + `. Numbers are never reused. This page
is generated from the code, and a test checks that both agree.

| code | name | HTTP | ran | meaning | what the caller does |
| --- | --- | --- | --- | --- | --- |
`

// TestDocumentMatchesCodes compares docs/RESULT-CODES.md with the codes.
func TestDocumentMatchesCodes(t *testing.T) {
	var b strings.Builder
	b.WriteString(docHeader)
	for _, i := range All() {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s | %s |\n", i.Code, i.Name, i.HTTP, i.Ran, i.Meaning, i.Action)
	}
	golden.Assert(t, b.String(), "../../../docs/RESULT-CODES.md")
}

func TestCodesAreOrderedAndNamesUnique(t *testing.T) {
	names := map[string]bool{}
	var previous Code
	for n, i := range All() {
		assert.Assert(t, n == 0 || i.Code > previous, "code %d follows %d", i.Code, previous)
		assert.Assert(t, !names[i.Name], "name %s is used twice", i.Name)
		names[i.Name], previous = true, i.Code
	}
}

func TestRanRoundTrip(t *testing.T) {
	for _, r := range []Ran{RanUnspecified, RanNo, RanYes, RanUnknown} {
		assert.Equal(t, ParseRan(r.String()), r)
	}
}
