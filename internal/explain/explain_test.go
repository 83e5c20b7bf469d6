package explain

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestReadFilesSortsByTime(t *testing.T) {
	dir := t.TempDir()
	first := filepath.Join(dir, "a.log")
	second := filepath.Join(dir, "b.log")
	assert.NilError(t, os.WriteFile(first, []byte(
		`{"time":"2026-12-04T10:00:00.300Z","msg":"Request answered by the entry.","logger":"gateway","request":"r1","held":1500000,"code":2001}`+"\n"+
			`{"time":"2026-12-04T10:00:00.100Z","msg":"Placement finished.","logger":"gateway","request":"r1","by":"self"}`+"\n"+
			`{"time":"2026-12-04T10:00:00.100Z","msg":"Placement finished.","logger":"gateway","request":"r2"}`+"\n"), 0o600))
	assert.NilError(t, os.WriteFile(second, []byte(
		"not a line about r1 {\n"+
			`  12.5 front-2 {"time":"2026-12-04T10:00:00.200Z","msg":"Request refused.","logger":"planner","request":"r1","reason":"overloaded"}`+"\n"), 0o600))
	lines, err := ReadFiles([]string{first, second}, "r1")
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, Write(&out, lines))
	want := "10:00:00.100  " + first + "  gateway: Placement finished. by=self\n" +
		"10:00:00.200  " + second + " 12.5 front-2  planner: Request refused. reason=overloaded\n" +
		"10:00:00.300  " + first + "  gateway: Request answered by the entry. code=2001 held=1.5ms\n"
	assert.Equal(t, out.String(), want)
}

func TestReadFilesNamesUnreadableFile(t *testing.T) {
	_, err := ReadFiles([]string{"missing.log"}, "r1")
	assert.ErrorContains(t, err, "missing.log")
}
