package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/loadreport"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// repeatingServer is a stage server that sends its response to the first call on a connection
// once more, right before the response to the second one.
func repeatingServer(t *testing.T) staging.Server {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	calls := make(chan int, 1)
	calls <- 0
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go answerTwice(conn, calls)
		}
	}()
	return staging.Server{ID: "s", Address: lis.Addr().String()}
}

// answerTwice answers the calls on a connection. calls holds the number of calls on all of
// them.
func answerTwice(conn net.Conn, calls chan int) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	first := ""
	for onConn := 0; ; onConn++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		n := <-calls + 1
		calls <- n
		body := fmt.Sprintf(`{"items":[{"handle":"h%d"}]}`, n)
		if req.URL.Path == platform.StageFreePath {
			body = "{}"
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		switch onConn {
		case 0:
			first = answer
		case 1:
			answer = first + answer
		}
		if _, err = io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// TestSecondCopyOfAnswerIsNotTakenForTheNext guards against the results of one stage call that
// are taken for those of another one: a server sends a second copy of its response late, on
// a connection that is in use again.
func TestSecondCopyOfAnswerIsNotTakenForTheNext(t *testing.T) {
	for _, firstFrees := range []bool{false, true} {
		t.Run(fmt.Sprint("first frees results: ", firstFrees), func(t *testing.T) {
			stages := &StageClient{Client: upstream.New(), Bodies: NewBodyBudget(0), AcceptsRequests: func(string) bool { return true }}
			server := repeatingServer(t)
			ctx := context.Background()
			if firstFrees {
				_, err := stages.Free(ctx, staging.FreeRequest{Server: server, Handles: []string{"h0"}})
				assert.NilError(t, err)
			}
			// The server numbers its calls, so call n must get the handle hn or none.
			for i := range 5 {
				n := i + 1
				if firstFrees {
					n++
				}
				result, _ := stages.Run(ctx, staging.Call{ID: uint64(i), Server: server, Items: []staging.Item{{JobID: fmt.Sprint("j", i)}}})
				if result.Status == staging.Answered {
					assert.Equal(t, result.Results[0].Handle, fmt.Sprint("h", n))
				}
			}
		})
	}
}

// TestStageResponsesCarryLoad guards against load reports that do not reach the scheduler: of
// answered calls, of refused ones, and of requests that free results.
func TestStageResponsesCarryLoad(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			standin.SetLoad(w.Header(), "1,2,4,250")
			w.WriteHeader(status)
			_, _ = io.WriteString(w, `{"items":[{"handle":"h"}]}`)
		}))
		t.Cleanup(srv.Close)
		var freed loadreport.Report
		stages := &StageClient{
			Client: upstream.New(), Bodies: NewBodyBudget(0), AcceptsRequests: func(string) bool { return true },
			OnLoad: func(_ staging.Server, load loadreport.Report) { freed = load },
		}
		server := staging.Server{ID: "s", Address: strings.TrimPrefix(srv.URL, "http://")}
		want := loadreport.Report{Running: 1, Waiting: 2, Slots: 4, WorkTime: 2.5}
		result, _ := stages.Run(context.Background(), staging.Call{Server: server, Items: make([]staging.Item, 1)})
		assert.Assert(t, result.Load != nil, "status %d", status)
		assert.DeepEqual(t, *result.Load, want)
		_, _ = stages.Free(context.Background(), staging.FreeRequest{Server: server})
		assert.DeepEqual(t, freed, want)
	}
}
