package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
)

const (
	interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	// wholeAnswer is a whole response with the body "own".
	wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
	// headTimeout bounds the wait for the response to a request.
	headTimeout = 10 * time.Second
)

// get sends a request that may use an idle connection and returns its response and its body. bodyErr
// is the error of reading the body.
func get(t *testing.T, client *Client, address string) (resp *Response, body string, bodyErr, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), headTimeout)
	defer cancel()
	resp, err = client.Do(ctx, &Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h", ReuseConnection: true})
	if err != nil {
		return nil, "", nil, err
	}
	data, bodyErr := io.ReadAll(resp.Body)
	assert.NilError(t, resp.Body.Close())
	return resp, string(data), bodyErr, nil
}

// TestCutHeadIsNoResponse guards against a server that stops within the head of its response: the
// part that arrived is taken for a response without a body, or for a refusal of a request that ran.
func TestCutHeadIsNoResponse(t *testing.T) {
	heads := map[string]string{
		"sized":        "HTTP/1.1 200 OK\r\nSeal: 3e1b.07\r\nContent-Length: 1234\r\n\r\n",
		"chunked":      "HTTP/1.1 200 OK\r\nSeal: 3e1b.07\r\nTransfer-Encoding: chunked\r\n\r\n",
		"until close":  "HTTP/1.1 200 OK\r\nSeal: 3e1b.07\r\nConnection: close\r\n\r\n",
		"refusal":      "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"no content":   "HTTP/1.1 204 No Content\r\nSeal: 3e1b.07\r\n\r\n",
		"folded":       "HTTP/1.1 200 OK\r\nSeal: 3e1b\r\n .07\r\nContent-Length: 0\r\n\r\n",
		"LF alone":     "HTTP/1.1 200 OK\nSeal: 3e1b.07\nContent-Length: 0\n\n",
		"HTTP/1.0":     "HTTP/1.0 200 OK\r\nSeal: 3e1b.07\r\n\r\n",
		"interim head": interim + interim + "HTTP/1.1 200 OK\r\nSeal: 3e1b.07\r\nContent-Length: 0\r\n\r\n",
	}
	for name, head := range heads {
		for _, end := range cutserver.Ends {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, kept connection %t", name, end, kept), func(t *testing.T) {
					t.Parallel()
					checkCutHead(t, head, end, kept)
				})
			}
		}
	}
}

// checkCutHead checks that a response whose head is cut after any of its bytes is none. If kept is
// set, it is the second one of its connection.
func checkCutHead(t *testing.T, head string, end cutserver.End, kept bool) {
	var length atomic.Int32
	address := cutserver.Start(t, func(_ *http.Request, n int) cutserver.Answer {
		if kept && n == 1 {
			return cutserver.Answer{Bytes: wholeAnswer, End: cutserver.Keep}
		}
		return cutserver.Answer{Bytes: head[:length.Load()], End: end}
	})
	client := New()
	for n := range len(head) {
		length.Store(int32(n))
		if kept {
			_, body, bodyErr, err := get(t, client, address)
			assert.NilError(t, errors.CombineErrors(err, bodyErr))
			assert.Equal(t, body, "own")
		}
		resp, body, _, err := get(t, client, address)
		assert.Assert(t, resp == nil, "after %d of %d bytes: %v, %q", n, len(head), resp, body)
		assert.Assert(t, errors.Is(err, ErrNoResponse), "after %d bytes: %v", n, err)
		assert.Assert(t, !errors.Is(err, ErrNotSent), "after %d bytes", n)
	}
}

// head returns a response with status 200, the given header lines and the body "own".
func head(lines ...string) string {
	return "HTTP/1.1 200 OK\r\n" + strings.Join(append(lines, "", ""), "\r\n") + "own"
}

// chunkedWithTrailer returns a response in chunks with a trailer.
func chunkedWithTrailer(lines string) string {
	return strings.Replace(head("Transfer-Encoding: chunked"), "own", "3\r\nown\r\n0\r\n"+lines+"\r\n\r\n", 1)
}

const chunkedOwn = "3\r\nown\r\n0\r\n\r\n"

// TestOddHeads guards against a response whose head does not say unmistakably where its body ends,
// or that is none of HTTP/1, being taken for a whole one.
func TestOddHeads(t *testing.T) {
	tests := []struct {
		name, answer string
		// whole is set if the response is valid and its body is "own".
		whole bool
	}{
		{"lines that end with LF", "HTTP/1.1 200 OK\nContent-Length: 3\n\nown", true},
		{"folded header", head("Other: a", " b", "Content-Length: 3"), true},
		{"folded length", head("Content-Length: 3", " 4"), false},
		{"folded first line", head(" Content-Length: 3"), false},
		{"repeated length", head("Content-Length: 3", "Content-Length: 3"), true},
		{"two lengths", head("Content-Length: 3", "Content-Length: 2"), false},
		{"list of lengths", head("Content-Length: 3, 2"), false},
		{"negative length", head("Content-Length: -3"), false},
		{"length with a sign", head("Content-Length: +3"), false},
		{"hexadecimal length", head("Content-Length: 0x3"), false},
		{"no length", head("Content-Length:"), false},
		{"length with a unit", head("Content-Length: 3 bytes"), false},
		{"length beyond the integers", head("Content-Length: 9223372036854775808"), false},
		{"largest length", head("Content-Length: 9223372036854775807"), false},
		{"length beyond the body", head("Content-Length: 4"), false},
		{"length and chunks", strings.Replace(head("Content-Length: 1", "Transfer-Encoding: chunked"), "own", chunkedOwn, 1), true},
		{"chunks without the last one", strings.Replace(head("Transfer-Encoding: chunked"), "own", "3\r\nown\r\n", 1), false},
		{"chunks without their end", strings.Replace(head("Transfer-Encoding: chunked"), "own", "3\r\nown\r\n0\r\n", 1), false},
		{"unknown coding", head("Transfer-Encoding: gzip"), false},
		{"unknown coding before chunks", strings.Replace(head("Transfer-Encoding: gzip, chunked"), "own", chunkedOwn, 1), false},
		{"coding identity", head("Transfer-Encoding: identity"), false},
		{"no coding", head("Transfer-Encoding:"), false},
		{"chunks twice", strings.Replace(head("Transfer-Encoding: chunked", "Transfer-Encoding: chunked"), "own", chunkedOwn, 1), false},
		{"space before the colon", head("Content-Length : 3"), false},
		{"blank in a name", head("Other Field: a", "Content-Length: 3"), false},
		{"tab in a name", head("Other\tField: a", "Content-Length: 3"), false},
		{"blank behind a name", head("Other : a", "Content-Length: 3"), false},
		{"blank before a name", head("Content-Length: 3", " Other: a"), false},
		{"tab before a name", head("Content-Length: 3", "\tOther: a"), false},
		{"folded line with a field of the framing", head("Other: a", " Content-Length: 3"), false},
		{"control byte in a name", head("Other\x01Field: a", "Content-Length: 3"), false},
		{"DEL in a name", head("Other\x7f: a", "Content-Length: 3"), false},
		{"byte beyond ASCII in a name", head("Oth\xe9r: a", "Content-Length: 3"), false},
		{"field without a name", head(": a", "Content-Length: 3"), false},
		{"blank in a long name", head(strings.Repeat("Long-", 2000)+" Name: a", "Content-Length: 3"), false},
		{"blank in a name far behind", head(strings.Repeat("Other: a\r\n", 2000)+"Other Field: a", "Content-Length: 3"), false},
		{"blank in a name of an interim response", "HTTP/1.1 103 Early Hints\r\nOther Field: a\r\n\r\n" + wholeAnswer, false},
		{"blank before a name of an interim response", "HTTP/1.1 103 Early Hints\r\nOther: a\r\n Field: a\r\n\r\n" + wholeAnswer, false},
		{"blank in a name behind interim responses", interim + interim + head("Other Field: a", "Content-Length: 3"), false},
		{"blank in a name of HTTP/1.0", "HTTP/1.0 200 OK\r\nOther Field: a\r\nContent-Length: 3\r\n\r\nown", false},
		{"HTTP/1.0 with a coding far behind", "HTTP/1.0 200 OK\r\n" + strings.Repeat("Other: a\r\n", 2000) + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nown", false},
		{"blank in a name of the trailer", chunkedWithTrailer("Other Field: a"), false},
		{"blank behind a name of the trailer", chunkedWithTrailer("Other: a\r\nField : a"), false},
		{"blank before a name of the trailer", chunkedWithTrailer("Other: a\r\n Field: a"), false},
		{"control byte in a name of the trailer", chunkedWithTrailer("Other\x01: a"), false},
		{"trailer", chunkedWithTrailer("Other: a b\r\n c\r\nField:"), true},
		{"lines like fields in a chunk", strings.Replace(head("Transfer-Encoding: chunked"), "own", "3;a b: c\r\nown\r\n0\r\n\r\n", 1) + "Other Field: a\r\n", true},
		{"blanks in values", head("Other: a b\tc ", "Empty: ", "None:", "Content-Length:  3 "), true},
		{"colons in values", head("Other: a:b: c", "Content-Length: 3"), true},
		{"obsolete bytes in values", head("Other: \xe9\xff", "Content-Length: 3"), true},
		{"names in any case", head("oTHER: a", "CONTENT-length: 3"), true},
		{"every byte that a name may have", head("!#$%&'*+-.^_`|~09azAZ: a", "Content-Length: 3"), true},
		{"folded lines without a colon", head("Other: a", "\tb", "  c", " ", "Content-Length: 3"), true},
		{"empty text of the status", "HTTP/1.1 200 \r\nContent-Length: 3\r\n\r\nown", true},
		{"header-like lines in the body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown" + "Other Field: a\r\n\r\n", true},
		{"line without a colon", head("Content-Length 3"), false},
		{"CR within a line", head("Other: a\rContent-Length: 3"), false},
		{"NUL", head("Other: a\x00", "Content-Length: 3"), false},
		{"no status", "HTTP/1.1\r\nContent-Length: 3\r\n\r\nown", false},
		{"short status", "HTTP/1.1 20\r\nContent-Length: 3\r\n\r\nown", false},
		{"long status", "HTTP/1.1 2000 OK\r\nContent-Length: 3\r\n\r\nown", false},
		{"status 000", strings.Replace(wholeAnswer, "200", "000", 1), false},
		{"status 099", strings.Replace(wholeAnswer, "200", "099", 1), false},
		{"status 000 before", "HTTP/1.1 000 None\r\n\r\n" + wholeAnswer, false},
		{"status 101 before", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + wholeAnswer, false},
		{"status without a text", "HTTP/1.1 200\r\nContent-Length: 3\r\n\r\nown", true},
		{"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nown", true},
		{"HTTP/1.0 until close", "HTTP/1.0 200 OK\r\n\r\nown", true},
		{"HTTP/1.0 in chunks", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedOwn, false},
		{"HTTP/1.0 with a length and a coding", "HTTP/1.0 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nown", false},
		{"HTTP/0.9", "own", false},
		{"HTTP/0.9 of two lines", "own\r\n\r\n", false},
		{"HTTP/0.9 with a status", "HTTP/0.9 200 OK\r\nContent-Length: 3\r\n\r\nown", false},
		{"HTTP/2", "HTTP/2.0 200 OK\r\nContent-Length: 3\r\n\r\nown", false},
		{"request", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nown", false},
		{"interim response alone", interim, false},
		{"interim response before", interim + wholeAnswer, true},
		{"interim responses without end", strings.Repeat(interim, 1000), false},
		{"many interim responses before", strings.Repeat(interim, 20) + wholeAnswer, true},
		{"second response after the first", wholeAnswer + head("Content-Length: 0"), true},
		{"bytes after the response", wholeAnswer + "bytes", true},
		{"until close", head("Connection: close"), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := New()
			address := cutserver.Start(t, func(*http.Request, int) cutserver.Answer { return cutserver.Answer{Bytes: tt.answer} })
			resp, body, bodyErr, err := get(t, client, address)
			if !tt.whole {
				assert.Assert(t, err != nil || bodyErr != nil, "%v, %q", resp, body)
				assert.Assert(t, !errors.Is(err, ErrNotSent))
				return
			}
			assert.NilError(t, errors.CombineErrors(err, bodyErr))
			assert.Equal(t, body, "own")
			assert.Equal(t, resp.StatusCode, http.StatusOK)
		})
	}
}

// TestSlowTrailerIsChecked guards against the trailer of a response passing unchecked because it
// arrives after the head.
func TestSlowTrailerIsChecked(t *testing.T) {
	whole, pause := chunkedWithTrailer("Other: a\r\n Field: a"), 20*time.Millisecond
	for n := strings.Index(whole, "own"); n < len(whole); n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			address := cutserver.Start(t, func(*http.Request, int) cutserver.Answer {
				return cutserver.Answer{Bytes: whole[:n], Rest: whole[n:], Pause: pause, End: cutserver.Keep}
			})
			_, body, bodyErr, err := get(t, New(), address)
			assert.Assert(t, err != nil || bodyErr != nil, "%q", body)
		})
	}
}

// TestUnusualStatusIsReturned guards against a response being refused for a status that has no
// meaning here. Those from 600 on count as errors of the server.
func TestUnusualStatusIsReturned(t *testing.T) {
	for _, status := range []int{200, 207, 299, 399, 418, 499, 599, 600, 999} {
		answer := strings.Replace(wholeAnswer, "200 OK", fmt.Sprint(status), 1)
		address := cutserver.Start(t, func(*http.Request, int) cutserver.Answer { return cutserver.Answer{Bytes: answer} })
		resp, body, bodyErr, err := get(t, New(), address)
		assert.NilError(t, errors.CombineErrors(err, bodyErr), status)
		assert.Equal(t, resp.StatusCode, status)
		assert.Equal(t, body, "own")
	}
}

// TestStrayResponseIsChecked guards against a response behind one to another request, in the same
// packet, being read without the checks of its head.
func TestStrayResponseIsChecked(t *testing.T) {
	const stray = "HTTP/1.1 503 Service Unavailable\r\nId: other\r\nContent-Length: 4\r\n\r\nfull"
	for _, bad := range []string{head("Id: own", "Other Field: a", "Content-Length: 3"), strings.Replace(head("Id: own", "Content-Length: 3"), "200", "000", 1)} {
		for _, answer := range []string{stray + bad, bad + stray} {
			address := cutserver.Start(t, func(*http.Request, int) cutserver.Answer { return cutserver.Answer{Bytes: answer} })
			_, err := New().Do(t.Context(), &Request{
				Address: address, Method: http.MethodPost, Target: "/", Host: "h",
				Matches: func(h http.Header) bool { return h.Get("Id") == "own" },
			})
			assert.Assert(t, errors.Is(err, ErrNoResponse), "%q: %v", answer, err)
		}
	}
}

// TestResetResponseIsNotComplete guards against a response without a length whose connection is
// reset being taken for a whole one.
func TestResetResponseIsNotComplete(t *testing.T) {
	for _, body := range []string{"", "own"} {
		address := cutserver.Start(t, func(*http.Request, int) cutserver.Answer {
			return cutserver.Answer{Bytes: "HTTP/1.1 200 OK\r\n\r\n" + body, End: cutserver.Reset}
		})
		_, _, bodyErr, err := get(t, New(), address)
		assert.Assert(t, err != nil || bodyErr != nil, "%q", body)
	}
}

// TestSlowHeadIsRead guards against a head being given up because it arrives in two parts.
func TestSlowHeadIsRead(t *testing.T) {
	const pause = 20 * time.Millisecond
	for n := range strings.Index(wholeAnswer, "own") {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			address := cutserver.Start(t, func(*http.Request, int) cutserver.Answer {
				return cutserver.Answer{Bytes: wholeAnswer[:n], Rest: wholeAnswer[n:], Pause: pause, End: cutserver.Keep}
			})
			_, body, bodyErr, err := get(t, New(), address)
			assert.NilError(t, errors.CombineErrors(err, bodyErr))
			assert.Equal(t, body, "own")
		})
	}
}

// TestHeadWithoutEndIsGivenUp guards against a request that waits beyond its time for the rest of a
// head.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	const timeout, waitLimit = 100 * time.Millisecond, 5 * time.Second
	for _, begun := range []string{"", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", interim} {
		address := cutserver.Start(t, func(*http.Request, int) cutserver.Answer { return cutserver.Answer{Bytes: begun, End: cutserver.Keep} })
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		start := time.Now()
		_, err := New().Do(ctx, &Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h"})
		assert.Assert(t, errors.Is(err, ErrNoResponse), "%q: %v", begun, err)
		assert.Assert(t, time.Since(start) < waitLimit, begun)
	}
}
