package httpcheck

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/responsescan"
	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
)

const sound = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"

// brokenResponses are bytes that net/http takes for responses. Some of them show only on the
// connection.
var brokenResponses = []struct {
	name, text     string
	onlyConnection bool
}{
	{"status 000", strings.Replace(sound, "200", "000", 1), false},
	{"status 101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n", false},
	{"blank in a name", "HTTP/1.1 200 OK\r\nOther Field: a\r\nContent-Length: 3\r\n\r\nown", false},
	{"blank behind a name", "HTTP/1.1 200 OK\r\nOther : a\r\nContent-Length: 3\r\n\r\nown", false},
	{"blank before a name", "HTTP/1.1 200 OK\r\nOther: a\r\n Field: a\r\nContent-Length: 3\r\n\r\nown", true},
	{"blank in a name of an interim response", "HTTP/1.1 103 Early Hints\r\nOther Field: a\r\n\r\n" + sound, true},
	{"blank in a name of the trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nOther Field: a\r\n\r\n", false},
	{"blank before a name of the trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nOther: a\r\n Field: a\r\n\r\n", true},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n", true},
	{"another protocol", "HTTP/3.0 200 OK\r\nContent-Length: 3\r\n\r\nown", true},
}

// post sends a request and returns the body of its response.
func post(client *http.Client, url string) (string, error) {
	resp, err := client.Post(url, "text/plain", strings.NewReader("request"))
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// TestBrokenResponses guards against bytes that are no response being taken for one, also on a
// connection that was used before.
func TestBrokenResponses(t *testing.T) {
	for _, tt := range brokenResponses {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept connection %t", tt.name, kept), func(t *testing.T) {
				address := "http://" + cutserver.Start(t, func(_ *http.Request, n int) cutserver.Answer {
					if kept && n == 1 {
						return cutserver.Answer{Bytes: sound, End: cutserver.Keep}
					}
					return cutserver.Answer{Bytes: tt.text, End: cutserver.Close}
				})
				clients := []*http.Client{{Transport: Transport(&http.Transport{})}}
				if !tt.onlyConnection {
					clients = append(clients, &http.Client{Transport: Responses(&http.Transport{})})
				}
				for _, client := range clients {
					if kept {
						text, err := post(client, address)
						assert.NilError(t, err)
						assert.Equal(t, text, "own")
					}
					text, err := post(client, address)
					assert.Assert(t, err != nil, "%q", text)
					client.CloseIdleConnections()
				}
			})
		}
	}
}

// TestSoundResponses guards against a legal response being refused, and against new connections.
func TestSoundResponses(t *testing.T) {
	responses := []string{
		sound,
		"HTTP/1.1 200 \r\noTHER: \xe9 a:b\r\nCONTENT-length: 3\r\n\r\nown",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + sound,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nOther: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nOther: a\r\n b\r\nContent-Length: 3\r\n\r\nown",
		"HTTP/1.1 299 Other\r\nContent-Length: 3\r\n\r\nown",
	}
	var connections atomic.Int32
	address := "http://" + cutserver.Start(t, func(_ *http.Request, n int) cutserver.Answer {
		if n == 1 {
			connections.Add(1)
		}
		return cutserver.Answer{Bytes: responses[(n-1)%len(responses)], End: cutserver.Keep}
	})
	client := &http.Client{Transport: Transport(&http.Transport{})}
	for i := range 4 * len(responses) {
		text, err := post(client, address)
		assert.NilError(t, err, "%q", responses[i%len(responses)])
		assert.Equal(t, text, "own")
	}
	assert.Equal(t, connections.Load(), int32(1))
}

// TestUntilCloseAndTLS checks a response that ends with its connection, and one over TLS, where the
// bytes of the connection are no response.
func TestUntilCloseAndTLS(t *testing.T) {
	client := &http.Client{Transport: Transport(&http.Transport{})}
	text, err := post(client, "http://"+cutserver.Start(t, func(*http.Request, int) cutserver.Answer {
		return cutserver.Answer{Bytes: "HTTP/1.0 200 OK\r\n\r\nown"}
	}))
	assert.NilError(t, err)
	assert.Equal(t, text, "own")

	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "own") }))
	defer srv.Close()
	tls := srv.Client().Transport.(*http.Transport).Clone()
	client.Transport = Transport(tls)
	for range 2 {
		text, err = post(client, srv.URL)
		assert.NilError(t, err)
		assert.Equal(t, text, "own")
	}
	client.CloseIdleConnections()
}

// TestErrorNamesTheCause checks what a caller can tell from the error.
func TestErrorNamesTheCause(t *testing.T) {
	client := &http.Client{Transport: Transport(&http.Transport{})}
	_, err := post(client, "http://"+cutserver.Start(t, func(*http.Request, int) cutserver.Answer {
		return cutserver.Answer{Bytes: "HTTP/1.1 200 OK\r\nOther Field: a\r\n\r\n"}
	}))
	assert.ErrorContains(t, err, responsescan.ErrField.Error())
}

// TestHeadsAreBounded guards against a head without end being kept up to the usual 10 MiB of net/http.
func TestHeadsAreBounded(t *testing.T) {
	const headBytes, maxAllocatedBytes = 8 << 20, 2 << 20
	client := &http.Client{Transport: Transport(&http.Transport{})}
	for begin, more := range map[string]string{
		"HTTP/1.1 200 OK\r\nOther: ": "0123456789abcdef",
		"HTTP/1.1 200 OK\r\n":        "Other: 0123456789abcdef\r\n",
		"":                           "HTTP/1.1 103 Early Hints\r\nOther: 0123456789abcdef\r\n\r\n",
	} {
		address, cut := cutserver.StartEndless(t, begin, cutserver.Repeat(more), headBytes)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := post(client, "http://"+address)
		runtime.ReadMemStats(&after)
		assert.Assert(t, <-cut && err != nil, "%.40q", begin)
		allocated := after.TotalAlloc - before.TotalAlloc
		assert.Check(t, allocated < maxAllocatedBytes, "%.40q: %d KiB", begin, allocated>>10)
	}
}
