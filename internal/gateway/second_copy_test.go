package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// copyTime is when a stage server sends a second copy of its first response on a connection.
type copyTime uint8

const (
	// never sends no copy.
	never copyTime = iota
	// whileIdle sends it once the caller has read the first response.
	whileIdle
	// withNext sends it once the next request has arrived.
	withNext
)

// copyingServer is a stage server that sends the first response on each connection twice. Call n
// to run a piece gets the handle hn.
type copyingServer struct {
	staging.Server
	copyAt copyTime
	// freeResponse is the response to calls that free results.
	freeResponse string
	// connections and runs count the connections and the calls that were run.
	connections, runs atomic.Int64
	// firstRead must receive a value once the caller has read a first response, and copied
	// receives one once its copy is sent; only with whileIdle.
	firstRead, copied chan struct{}
}

func startCopyingServer(t *testing.T, copyAt copyTime, freeResponse string) *copyingServer {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	s := &copyingServer{
		Server: staging.Server{ID: "s", Address: lis.Addr().String()}, copyAt: copyAt, freeResponse: freeResponse,
		firstRead: make(chan struct{}), copied: make(chan struct{}),
	}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(conn, s.connections.Load() == 1)
		}
	}()
	return s
}

// serve answers the calls on a connection, and sends a second copy on the first one.
func (s *copyingServer) serve(conn net.Conn, first bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	firstResponse := ""
	for n := 0; ; n++ {
		response := s.readCall(reader)
		if response == "" {
			return
		}
		if n == 0 {
			firstResponse = response
		}
		if n == 1 && first && s.copyAt == withNext {
			response = firstResponse + response
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
		if n == 0 && first && s.copyAt == whileIdle {
			<-s.firstRead
			_, _ = io.WriteString(conn, firstResponse)
			s.copied <- struct{}{}
		}
	}
}

// readCall reads a call and returns the response to it, or "" at the end of the connection.
func (s *copyingServer) readCall(reader *bufio.Reader) string {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return ""
	}
	if _, err = io.Copy(io.Discard, req.Body); err != nil {
		return ""
	}
	if req.URL.Path == platform.StageFreePath {
		return s.freeResponse
	}
	return stageResponse(http.StatusOK, fmt.Sprintf(`{"items":[{"handle":"h%d"}]}`, s.runs.Add(1)), nil)
}

// waitForCopy waits until the copy of a first response is sent that the caller has read.
func (s *copyingServer) waitForCopy() {
	if s.copyAt == whileIdle {
		s.firstRead <- struct{}{}
		<-s.copied
	}
}

// stageResponse returns a response to a stage call.
func stageResponse(status int, body string, header http.Header) string {
	var b strings.Builder
	resp := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header,
		Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
	}
	if err := resp.Write(&b); err != nil {
		panic(err)
	}
	return b.String()
}

// refusedFree returns a response by which a server refuses to free results.
func refusedFree(status int) string {
	h := http.Header{"Retry-After": {"1"}}
	standin.SetNotExecuted(h)
	return stageResponse(status, `{"reason":"full"}`, h)
}

func newStageClient() *StageClient {
	return &StageClient{Client: upstream.New(), Bodies: NewBodyBudget(0), AcceptsRequests: func(string) bool { return true }}
}

func runPiece(stages *StageClient, server staging.Server) (staging.CallResult, error) {
	return stages.Run(context.Background(), staging.Call{Server: server, Items: []staging.Item{{JobID: "j"}}})
}

// TestCopyOfRefusalIsNotTakenForTheNextOne guards against a call that counts as not run and is
// run by its server: the server refuses to free results, sends that refusal once more on the
// kept connection, and the copy is taken for the response to the call.
func TestCopyOfRefusalIsNotTakenForTheNextOne(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusBadRequest} {
		for _, at := range []copyTime{whileIdle, withNext} {
			t.Run(fmt.Sprint(status, " at ", at), func(t *testing.T) {
				server := startCopyingServer(t, at, refusedFree(status))
				stages := newStageClient()
				_, _ = stages.Free(context.Background(), staging.FreeRequest{Server: server.Server, Handles: []string{"h0"}})
				server.waitForCopy()
				result, err := runPiece(stages, server.Server)
				assert.NilError(t, err)
				assert.Equal(t, result.Status, staging.Answered)
				assert.Equal(t, result.Results[0].Handle, fmt.Sprint("h", server.runs.Load()))
			})
		}
	}
}

// TestCopyBeforeTheNextCallIsNotTakenForItsResponse guards against a stage call that is lost, or
// gets the results of another one, because the second copy of the response before lies unread in
// the connection on which it is sent.
func TestCopyBeforeTheNextCallIsNotTakenForItsResponse(t *testing.T) {
	server := startCopyingServer(t, whileIdle, stageResponse(http.StatusOK, "{}", nil))
	stages := newStageClient()
	_, err := stages.Free(context.Background(), staging.FreeRequest{Server: server.Server, Handles: []string{"h0"}})
	assert.NilError(t, err)
	server.waitForCopy()
	result, err := runPiece(stages, server.Server)
	assert.NilError(t, err)
	assert.Equal(t, result.Results[0].Handle, "h1")
}

// TestLateCopyDoesNotMakeRunCallCountAsNotRun guards against a call that counts as not run and
// is run by its server, because the second copy of the response before arrives with its own.
func TestLateCopyDoesNotMakeRunCallCountAsNotRun(t *testing.T) {
	for _, body := range []string{"", "{}", `{"items":[]}`} {
		server := startCopyingServer(t, withNext, stageResponse(http.StatusOK, body, nil))
		stages := newStageClient()
		_, err := stages.Free(context.Background(), staging.FreeRequest{Server: server.Server, Handles: []string{"h0"}})
		assert.NilError(t, err)
		result, err := runPiece(stages, server.Server)
		assert.Assert(t, err != nil)
		assert.Equal(t, result.Status, staging.Incomplete)
		assert.Equal(t, server.runs.Load(), int64(1))
	}
}

// TestSoundStageCallsShareOneConnection guards against new connections for the calls to a sound
// server, which are limited.
func TestSoundStageCallsShareOneConnection(t *testing.T) {
	const rounds = 50
	server := startCopyingServer(t, never, stageResponse(http.StatusOK, "{}", nil))
	stages := newStageClient()
	for range rounds {
		result, err := runPiece(stages, server.Server)
		assert.NilError(t, err)
		_, err = stages.Free(context.Background(), staging.FreeRequest{Server: server.Server, Handles: []string{result.Results[0].Handle}})
		assert.NilError(t, err)
	}
	assert.Equal(t, server.runs.Load(), int64(rounds))
	assert.Equal(t, server.connections.Load(), int64(1))
}
