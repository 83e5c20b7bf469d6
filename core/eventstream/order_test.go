package eventstream

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestOrder(t *testing.T) {
	tests := []struct {
		name     string
		recorded []string
		id       string
		want     error
	}{
		{"first event of a stream", nil, "7", nil},
		{"next number", []string{"7"}, "8", nil},
		{"number after a gap", []string{"7"}, "12", nil},
		{"more digits", []string{"9"}, "10", nil},
		{"same number", []string{"7"}, "7", ErrIDNotRising},
		{"same number with zeros", []string{"7"}, "007", ErrIDNotRising},
		{"smaller number", []string{"7", "10"}, "9", ErrIDNotRising},
		{"beyond 64 bits", []string{"99999999999999999999"}, "100000000000000000000", nil},
		{"below, beyond 64 bits", []string{"100000000000000000000"}, "99999999999999999999", ErrIDNotRising},
		{"after zero", []string{"0"}, "1", nil},
		{"empty IDs are none", []string{"7", ""}, "7", ErrIDNotRising},
		{"new opaque ID", []string{"b", "a"}, "c", nil},
		{"last opaque ID", []string{"b", "a"}, "a", ErrIDRepeated},
		{"earlier opaque ID", []string{"b", "a"}, "b", ErrIDRepeated},
		{"negative numbers are opaque", []string{"-1"}, "-2", nil},
		{"opaque ID after a number", []string{"7"}, "x", nil},
		{"number after an opaque ID", []string{"7", "x"}, "8", nil},
		{"number repeated after an opaque ID", []string{"7", "x"}, "7", ErrIDNotRising},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var o Order
			for _, id := range tt.recorded {
				o.Record([]byte(id))
			}
			if err := o.Check([]byte(tt.id)); tt.want == nil {
				assert.NilError(t, err)
			} else {
				assert.ErrorIs(t, err, tt.want)
			}
		})
	}
}

// TestOrderForgetsNeitherTheFirstNorTheNewestOpaqueIDs guards against a long stream that begins
// anew, or is resumed too early, going unnoticed, and against memory that grows with it.
func TestOrderForgetsNeitherTheFirstNorTheNewestOpaqueIDs(t *testing.T) {
	const n = 3 * maxRememberedIDs
	var o Order
	for i := range n {
		o.Record(fmt.Appendf(nil, "e%d", i))
		assert.Assert(t, len(o.opaque) <= maxRememberedIDs)
	}
	assert.ErrorIs(t, o.Check([]byte("e0")), ErrIDRepeated)
	for i := n - maxRememberedIDs + 1; i < n; i++ {
		assert.ErrorIs(t, o.Check(fmt.Appendf(nil, "e%d", i)), ErrIDRepeated)
	}
	assert.NilError(t, o.Check(fmt.Appendf(nil, "e%d", n)))
}

// TestContinuation checks what of a response reaches the client as the continuation of a stream
// whose last event has ID 5.
func TestContinuation(t *testing.T) {
	tests := []struct {
		name, input string
		want        string
		wantErr     error
	}{
		{"next events", "id: 6\ndata: a\n\nid: 7\n\n", "id: 6\ndata: a\n\nid: 7\n\n", nil},
		{"CRLF", "id: 6\r\ndata: a\r\n\r\n", "id: 6\r\ndata: a\r\n\r\n", nil},
		{"comments", ": alive\n\n: alive\n\nid: 6\n\n: alive\n\n", ": alive\n\n: alive\n\nid: 6\n\n: alive\n\n", nil},
		{"comments only", ": alive\n\n: alive\n\n", "", nil},
		{"later event without an ID", "id: 6\n\ndata: b\n\n", "id: 6\n\ndata: b\n\n", nil},
		{"unknown fields", "x-version: 3\nid: 6\nevent: a\nretry: 10\ndata\n\n", "x-version: 3\nid: 6\nevent: a\nretry: 10\ndata\n\n", nil},
		{"nothing", "", "", nil},
		{"same event", "id: 5\n\n", "", ErrIDNotRising},
		{"begun anew", "id: 1\n\nid: 6\n\n", "", ErrIDNotRising},
		{"repeated later", "id: 6\n\nid: 6\n\nid: 7\n\n", "id: 6\n\n", ErrIDNotRising},
		{"no ID", "data: a\n\nid: 6\n\n", "", ErrNoID},
		{"empty ID", "id:\ndata: a\n\n", "", ErrNoID},
		{"text", "internal error\n\n", "", ErrNotAField},
		{"text after a comment", ": alive\n\ninternal error\n\n", "", ErrNotAField},
		{"text after an event", "id: 6\n\ninternal error\n\nid: 7\n\n", "id: 6\n\n", ErrNotAField},
		{"JSON", "{\"error\":1}\n\n", "", ErrNotAField},
		{"byte order mark", "\uFEFFid: 6\n\n", "", ErrNotAField},
		{"response head", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "", ErrNotAField},
		{"response head within an event", "id: 6\nHTTP/1.1 200 OK\r\n\r\n", "", ErrNotAField},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, size := range []int{1, 2, 3, max(len(tt.input), 1)} {
				var o Order
				o.Record([]byte("5"))
				s := ResponseTo(&o, true)
				got := addInParts(s, tt.input, size)
				assert.Equal(t, got, tt.want, "parts of %d bytes", size)
				if tt.wantErr == nil {
					assert.NilError(t, s.Err())
				} else {
					assert.ErrorIs(t, s.Err(), tt.wantErr)
					assert.ErrorIs(t, s.CheckPart(), tt.wantErr)
				}
			}
		})
	}
}

// addInParts adds input in parts of the given size until the splitter has an error, and returns
// the whole events.
func addInParts(s *Splitter, input string, size int) string {
	var whole strings.Builder
	for input != "" && s.Err() == nil {
		n := min(size, len(input))
		whole.Write(s.Add([]byte(input[:n])))
		input = input[n:]
	}
	return whole.String()
}

// TestResponseHeadIsNoEvent guards against a second response, which a server sends after the
// first one, counting as an event of a stream that ends with its connection.
func TestResponseHeadIsNoEvent(t *testing.T) {
	for _, begun := range []string{"", "id: 2\n", "id: 2\nda"} {
		s := ResponseTo(&Order{}, false)
		assert.Equal(t, string(s.Add([]byte("id: 1\n\n"+begun+"HTTP/1.1 200 OK\r\nA: b\r\n\r\n{}\n\n"))), "id: 1\n\n")
		assert.ErrorIs(t, s.Err(), ErrNotAField)
		assert.Equal(t, s.LastID(), "1")
	}
	s := ResponseTo(&Order{}, false)
	const event = "id: 1\ndata: HTTP/1.1 200 OK\n\n"
	assert.Equal(t, string(s.Add([]byte(event))), event)
	assert.NilError(t, s.Err())
}

// TestCheckPart guards against a part of a large event reaching the client before its ID shows
// that it continues the stream.
func TestCheckPart(t *testing.T) {
	for begun, want := range map[string]error{
		"id: 6\ndata: xx": nil, "id: 5\ndata: xx": ErrIDNotRising, "data: xx": ErrUncheckedPart, "id: 6": ErrUncheckedPart, ": xx\n\n": ErrUncheckedPart,
	} {
		var o Order
		o.Record([]byte("5"))
		s := ResponseTo(&o, true)
		s.Add([]byte(begun))
		if want == nil {
			assert.NilError(t, s.CheckPart(), begun)
			s.TakeUnfinished()
			s.Add([]byte("yy"))
			assert.NilError(t, s.CheckPart(), "the event is checked already")
			continue
		}
		assert.ErrorIs(t, s.CheckPart(), want, begun)
		s = ResponseTo(&o, false)
		s.Add([]byte(begun))
		assert.NilError(t, s.CheckPart(), "only a continuation is checked")
	}
}

// TestJoinedStreamRises joins random responses that break off, repeat events, begin anew or
// contain other bytes, and checks that every ID of the joined stream is above the one before.
func TestJoinedStreamRises(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var o Order
		var joined strings.Builder
		for attempt := range 5 {
			joined.WriteString(addInParts(ResponseTo(&o, attempt > 0), randomResponse(random, attempt == 0), 1+random.IntN(40)))
		}
		last := 0
		for event := range strings.SplitSeq(strings.TrimSuffix(joined.String(), "\n\n"), "\n\n") {
			var id int
			if event == "" || event == ": alive" {
				continue
			}
			_, err := fmt.Sscanf(event, "id: %d\ndata: x", &id)
			assert.NilError(t, err, event)
			assert.Assert(t, id > last, joined.String())
			last = id
		}
	}
}

// randomResponse returns events with rising IDs, which end anywhere. Unless sound is set, other
// blocks are among them.
func randomResponse(random *rand.Rand, sound bool) string {
	others := []string{": alive\n\n", "internal error\n\n", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "{\"a\":1}\n\n", "id: 1\ndata: x\n\n"}
	response, id := "", random.IntN(10)
	for range random.IntN(8) {
		id += 1 + random.IntN(3)
		response += fmt.Sprintf("id: %d\ndata: x\n\n", id)
		if !sound && random.IntN(3) == 0 {
			response += others[random.IntN(len(others))]
		}
	}
	return response[:random.IntN(len(response)+1)]
}

// FuzzContinuation adds arbitrary bytes as a continuation, in parts of any size: what reaches the
// client does not depend on the parts, begins the bytes, and has rising IDs.
func FuzzContinuation(f *testing.F) {
	for _, input := range []string{"id: 6\ndata: a\n\nid: 7\n\n", "id: 6\r\rid: 6\r\r", ": a\n\n\nHTTP/1.1 200 OK\r\n\r\n", "id: 7\n\nid:\n\nid: 8"} {
		f.Add(input, 1)
	}
	f.Fuzz(func(t *testing.T, input string, size int) {
		var inParts, atOnce Order
		inParts.Record([]byte("5"))
		atOnce.Record([]byte("5"))
		whole := ResponseTo(&atOnce, true)
		want := addInParts(whole, input, max(len(input), 1))
		s := ResponseTo(&inParts, true)
		got := addInParts(s, input, 1+abs(size)%64)
		assert.Equal(t, got, want)
		assert.Equal(t, s.Err() != nil, whole.Err() != nil)
		assert.Assert(t, strings.HasPrefix(input, got))
		again := ResponseTo(&inParts, true)
		assert.Equal(t, addInParts(again, got, 7), "", "what reached the client does not continue itself")
	})
}

func abs(n int) int { return max(n, -(n + 1)) }
