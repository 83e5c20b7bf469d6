package engine

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
)

// brokenHeads begin what a server in trouble sends in place of an answer. The rest of the head and the
// body follow.
var brokenHeads = map[string]string{
	"status 000":                "HTTP/1.1 000 OK\r\n",
	"status 101":                "HTTP/1.1 101 Switching Protocols\r\n",
	"blank in a name":           "HTTP/1.1 200 OK\r\nOther Field: a\r\n",
	"blank behind a name":       "HTTP/1.1 200 OK\r\nOther : a\r\n",
	"blank before a name":       "HTTP/1.1 200 OK\r\nOther: a\r\n Field: a\r\n",
	"control byte in a name":    "HTTP/1.1 200 OK\r\nOther\x01: a\r\n",
	"interim answer":            "HTTP/1.1 103 Early Hints\r\nOther Field: a\r\n\r\nHTTP/1.1 200 OK\r\n",
	"not run, with a bad field": "HTTP/1.1 503 Service Unavailable\r\nNot-Run: true\r\nOther Field: a\r\n",
}

// TestBrokenAnswerOfService guards against bytes that are no answer being taken for the result of a
// call, or for the statement that it was not run.
func TestBrokenAnswerOfService(t *testing.T) {
	for name, begin := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			url := "http://" + cutserver.Start(t, func(*http.Request, int) cutserver.Answer {
				return cutserver.Answer{Bytes: begin + "Content-Length: 3\r\n\r\nown"}
			})
			var chunks atomic.Int32
			o := NewServiceClient(url).Run(t.Context(), Call{ID: "e~1/0/1", Name: "file"}, func(Chunk) result.Code {
				chunks.Add(1)
				return result.OK
			})
			assert.Equal(t, o.Code, result.ServerFailed, o.Message)
			assert.Equal(t, o.Ran, result.RanUnknown, o.Message)
			assert.Equal(t, chunks.Load(), int32(0))
		})
	}
}

// TestBrokenTrailerOfService guards against a result as whole whose end is none.
func TestBrokenTrailerOfService(t *testing.T) {
	for _, trailer := range []string{"Other Field: a", "Other: a\r\n Field: a"} {
		url := "http://" + cutserver.Start(t, func(*http.Request, int) cutserver.Answer {
			return cutserver.Answer{Bytes: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n" + trailer + "\r\n\r\n"}
		})
		o := NewServiceClient(url).Run(t.Context(), Call{ID: "e~1/0/1", Name: "file"}, func(Chunk) result.Code { return result.OK })
		assert.Equal(t, o.Code, result.ServerFailed, trailer)
		assert.Assert(t, o.Ran != result.RanNo, trailer)
	}
}

// TestBrokenAnswerOfModel guards against a stream of events behind bytes that are no answer being
// taken for that of the model.
func TestBrokenAnswerOfModel(t *testing.T) {
	const callTimeout = 30 * time.Second
	const events = "id: 1\ndata: {\"text\":\"a\",\"tokens\":1}\n\nid: 2\nevent: done\n\n"
	for name, begin := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			var requests atomic.Int32
			url := "http://" + cutserver.Start(t, func(*http.Request, int) cutserver.Answer {
				if requests.Add(1) == 2 {
					cancel()
				}
				return cutserver.Answer{Bytes: begin + "Content-Type: text/event-stream\r\n\r\n" + events}
			})
			o := NewModelClient(url).Run(ctx, Call{ID: "e~1/0/1"}, func(Chunk) result.Code { return result.OK })
			assert.Assert(t, o.Code != result.OK)
			assert.Equal(t, o.Ran, result.RanUnknown, o.Message)
		})
	}
}

// TestBrokenAnswerToOrder guards against an order, or the end of a stream, being taken for carried out
// because of bytes that are no answer.
func TestBrokenAnswerToOrder(t *testing.T) {
	for name, begin := range brokenHeads {
		if strings.Contains(begin, "503") {
			begin = strings.Replace(begin, "503 Service Unavailable", "409 Conflict", 1)
		}
		t.Run(name, func(t *testing.T) {
			url := "http://" + cutserver.Start(t, func(*http.Request, int) cutserver.Answer {
				return cutserver.Answer{Bytes: begin + "Content-Length: 2\r\n\r\n{}"}
			})
			m := NewModelClient(url)
			o := m.SendOrder(t.Context(), Order{Kind: "load"}, func() result.Code { return result.OK })
			assert.Equal(t, o.Code, result.ServerFailed, o.Message)
			assert.Equal(t, o.Ran, result.RanUnknown, o.Message)
			assert.Assert(t, m.Cancel(t.Context(), "e~1/0/1") != nil)
		})
	}
}

// TestOrderAnswerThatEndsEarly guards against an order being taken for carried out, or for rejected, by
// an answer whose connection was lost, or that has no end.
func TestOrderAnswerThatEndsEarly(t *testing.T) {
	long := strings.Repeat("x", maxOrderReplyBytes+1)
	for answer, want := range map[string]result.Ran{
		"200 OK\r\nContent-Length: 2\r\n\r\n{}":                         result.RanYes,
		"200 OK\r\n\r\n{}":                                              result.RanYes,
		"204 No Content\r\n\r\n":                                        result.RanUnknown,
		"409 Conflict\r\nContent-Length: 2\r\n\r\n{}":                   result.RanNo,
		"200 OK\r\nContent-Length: 3\r\n\r\n{}":                         result.RanUnknown,
		"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n":       result.RanUnknown,
		"200 OK\r\n\r\n" + long:                                         result.RanUnknown,
		"409 Conflict\r\nContent-Length: 3\r\n\r\n{}":                   result.RanUnknown,
		"409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n": result.RanUnknown,
		"503 Service Unavailable\r\nNot-Run: true\r\n\r\nbusy":          result.RanNo,
		"503 Service Unavailable\r\nContent-Length: 9\r\n\r\nbusy":      result.RanUnknown,
		"500 Internal Server Error\r\nContent-Length: 0\r\n\r\n":        result.RanUnknown,
	} {
		url := "http://" + cutserver.Start(t, func(*http.Request, int) cutserver.Answer {
			return cutserver.Answer{Bytes: "HTTP/1.1 " + answer}
		})
		o := NewModelClient(url).SendOrder(t.Context(), Order{Kind: "load"}, func() result.Code { return result.OK })
		assert.Check(t, o.Ran == want && (o.Code == result.OK) == (want == result.RanYes), "%.80q: %v", answer, o)
	}
}
