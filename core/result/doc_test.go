package result

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const docHeader = `# Result codes

Every refusal and failure carries one of these numbers. ` + "`ran`" + ` says whether any stage was executed; where it varies, the answer itself
says which. Repeating a request is safe if and only if the answer's ` + "`effects`" + ` is ` + "`no`" + `. Numbers are never reused. A test keeps
this page in step with the code.

| code | name | HTTP | ran | meaning | what the caller does |
| --- | --- | --- | --- | --- | --- |
`

func TestDocumentMatchesTable(t *testing.T) {
	var b strings.Builder
	b.WriteString(docHeader)
	for _, i := range All() {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s | %s |\n", i.Code, i.Name, i.HTTP, i.Ran, i.Meaning, i.Action)
	}
	golden.Assert(t, b.String(), "../../../docs/RESULT-CODES.md")
}

func TestTableIsOrderedAndUnique(t *testing.T) {
	names := map[string]bool{}
	var last Code
	for n, i := range All() {
		assert.Assert(t, n == 0 || i.Code > last, "code %d follows %d", i.Code, last)
		assert.Assert(t, !names[i.Name], "name %s stands twice", i.Name)
		names[i.Name], last = true, i.Code
	}
}

func TestRanRoundTrip(t *testing.T) {
	for _, r := range []Ran{RanUnspecified, RanNo, RanYes, RanUnknown} {
		assert.Equal(t, ParseRan(r.String()), r)
	}
}
