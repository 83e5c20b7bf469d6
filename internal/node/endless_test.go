package node

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// endlessBytes is more than an entry may accept of any answer.
const endlessBytes = 128 << 20

// TestEndlessAnswersAreCut guards against a server in trouble that sends bytes without end, in
// the head or the body of an answer: the entry would collect them until its memory is full,
// or relay them until the deadline.
func TestEndlessAnswersAreCut(t *testing.T) {
	const okHead = "HTTP/1.1 200 OK\r\n{seal}\r\n"
	plain := func(id string) clientCall { return keyedCall(standin.PathUnsafe, id, "key-1") }
	stream := func(id string) clientCall { return keyedCall(standin.PathStream, id, "key-1") }
	tests := []struct {
		name, service string
		call          func(id string) clientCall
		begin, more   string
	}{
		{"no answer at all", "plain", plain, "", "garbage "},
		{"one header line", "plain", plain, "HTTP/1.1 200 OK\r\nX-Long: ", "0123456789abcdef"},
		{"many header lines", "plain", plain, okHead, "X-More: 0123456789abcdef\r\n"},
		{"interim answers", "plain", plain, "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body until close", "plain", plain, okHead + "\r\n", "0123456789abcdef"},
		{"body in chunks", "plain", plain, okHead + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		{"body without signature", "plain", plain, "HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef"},
		{"one chunk extension", "plain", plain, okHead + "Transfer-Encoding: chunked\r\n\r\n1;", "0123456789abcdef"},
		{"trailer", "plain", plain, okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 0123456789abcdef\r\n"},
		{"head of a stream", "model", stream, "HTTP/1.1 200 OK\r\nX-Long: ", "0123456789abcdef"},
		{"one event", "model", stream, okHead + "\r\ndata: ", "0123456789abcdef"},
		{"one event of many lines", "model", stream, okHead + "\r\n", "data: 0123456789abcdef\n"},
		{"one event after others", "model", stream, okHead + "\r\nid: 1\ndata: x\n\ndata: ", "0123456789abcdef"},
		{"head of a stage call", "a", stagedCall, "", "garbage "},
		{"body of a stage call", "a", stagedCall, okHead + "\r\n", `{"items":[]}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t)
			for _, service := range []string{"a", "b", "plain"} {
				f.startServer(service, service+"1", 0)
			}
			f.startServer("model", "model1", 1)
			cut := make(chan bool, 100)
			s := f.servers[tt.service+"1"]
			s.SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
				cut <- standin.WriteEndless(w, s.ID, tt.begin, tt.more, endlessBytes)
				return true
			})
			f.putConfig()
			e := f.startEntry("e1", 0).waitReady().waitRegistered()
			got := e.do(tt.call("r"))
			assert.Assert(t, got.err != nil || got.status >= http.StatusInternalServerError, "%d", got.status)
			assert.Assert(t, <-cut, "the entry accepted all of the answer")

			s.SetHandler(nil)
			eventually(t, "the server is used again", func() bool { return e.do(tt.call("later")).status == http.StatusOK })
		})
	}
}
