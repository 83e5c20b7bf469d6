package eventstream

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSplitter(t *testing.T) {
	tests := []struct {
		name, input    string
		wantWhole      string
		wantUnfinished string
		wantEvents     int
		wantLastID     string
	}{
		{"nothing", "", "", "", 0, ""},
		{"events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "", 2, "2"},
		{"data that looks like an ID", "id:1\ndata: id: 7\n\n", "id:1\ndata: id: 7\n\n", "", 1, "1"},
		{"event without an ID", "id: 1\ndata: a\n\ndata: b\n\n", "id: 1\ndata: a\n\ndata: b\n\n", "", 2, "1"},
		{"event with an empty ID", "id: 1\n\nid:\n\n", "id: 1\n\nid:\n\n", "", 2, ""},
		{"ends within a line", "id: 1\n\nid: 2\nda", "id: 1\n\n", "id: 2\nda", 1, "1"},
		{"ends before the empty line", "id: 1\n\nid: 2\n", "id: 1\n\n", "id: 2\n", 1, "1"},
		{"CRLF", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n", "id: 1\r\ndata: a\r\n\r\n", "id: 2\r\n", 1, "1"},
		{"CR", "id: 1\rdata: a\r\rid: 2\r", "id: 1\rdata: a\r\r", "id: 2\r", 1, "1"},
		{"mixed line ends", "id: 1\r\n\nid: 2\n\r\nx", "id: 1\r\n\nid: 2\n\r\n", "x", 2, "2"},
		{"comment", ": alive\n\n", ": alive\n\n", "", 0, ""},
		{"empty lines", "\n\n\ndata: a\n\n", "\n\n\ndata: a\n\n", "", 1, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, size := range []int{1, 2, 3, max(len(tt.input), 1)} {
				var s Splitter
				var whole strings.Builder
				for rest := tt.input; rest != ""; {
					n := min(size, len(rest))
					whole.Write(s.Add([]byte(rest[:n])))
					rest = rest[n:]
				}
				assert.Equal(t, whole.String(), tt.wantWhole, "parts of %d bytes", size)
				assert.Equal(t, string(s.Unfinished()), tt.wantUnfinished)
				assert.Equal(t, s.InEvent(), tt.wantUnfinished != "")
				assert.Equal(t, s.Events(), tt.wantEvents)
				assert.Equal(t, s.LastID(), tt.wantLastID)
				assert.Equal(t, s.LastHasID(), tt.wantLastID != "" && tt.name != "event without an ID")
			}
		})
	}
}

func TestTakeUnfinished(t *testing.T) {
	var s Splitter
	assert.Equal(t, string(s.Add([]byte("id: 1\n\ndata: lo"))), "id: 1\n\n")
	assert.Equal(t, string(s.TakeUnfinished()), "data: lo")
	assert.Assert(t, s.InEvent() && s.PartTaken())
	assert.Equal(t, string(s.Add([]byte("ng\n"))), "")
	assert.Equal(t, string(s.TakeUnfinished()), "ng\n")
	assert.Assert(t, s.InEvent())
	assert.Equal(t, string(s.Add([]byte("\nid: 2"))), "\n")
	assert.Equal(t, s.Events(), 2)
	assert.Assert(t, s.InEvent() && !s.PartTaken())
	assert.Equal(t, string(s.TakeUnfinished()), "id: 2")
	assert.Equal(t, string(s.Add([]byte("id: 3\n\n"))), "id: 3\n\n")
	assert.Equal(t, s.LastID(), "1", "the rest of a line is no line of its own")
}
