package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// copyingServer refuses the first call and runs all others. It keeps its connections open, and
// sends the refusal once more before each other response on the same connection.
type copyingServer struct {
	url      string
	requests atomic.Int64
}

func startCopyingServer(t *testing.T, response string) *copyingServer {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	s := &copyingServer{url: "http://" + lis.Addr().String()}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, response)
		}
	}()
	return s
}

func (s *copyingServer) serve(conn net.Conn, response string) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n"
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	copied := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		answer := copied + response
		if s.requests.Add(1) == 1 {
			copied, answer = refusal, refusal
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// TestCopyOfRefusalDoesNotReachTheNextCall guards against a call or an order that counts as not
// run and is run by its server: the server sends its refusal of an earlier one once more.
func TestCopyOfRefusalDoesNotReachTheNextCall(t *testing.T) {
	const stream = "id: 1\nevent: done\ndata: {}\n\n"
	emit := func(Chunk) result.Code { return result.OK }
	clients := []struct {
		name, response string
		call           func(url string) func() Outcome
	}{
		{"service", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", func(url string) func() Outcome {
			c := NewServiceClient(url)
			return func() Outcome { return c.Run(context.Background(), Call{ID: "c", Name: "n"}, emit) }
		}},
		{"model", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(stream), stream), func(url string) func() Outcome {
			c := NewModelClient(url)
			return func() Outcome { return c.Run(context.Background(), Call{ID: "c"}, emit) }
		}},
		{"order", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", func(url string) func() Outcome {
			c := NewModelClient(url)
			return func() Outcome { return c.SendOrder(context.Background(), Order{Kind: "load"}, nil) }
		}},
	}
	for _, tt := range clients {
		t.Run(tt.name, func(t *testing.T) {
			server := startCopyingServer(t, tt.response)
			call := tt.call(server.url)
			assert.Equal(t, call().Ran, result.RanNo)
			for range 20 {
				o := call()
				assert.Equal(t, o.Code, result.OK, o.Message)
				assert.Equal(t, o.Ran, result.RanYes)
			}
			assert.Equal(t, server.requests.Load(), int64(21))
		})
	}
}
