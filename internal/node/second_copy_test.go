package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// responseBytes returns a response to the request with the given ID as its server sends it.
func responseBytes(t *testing.T, status int, requestID, body string, set func(http.Header)) string {
	t.Helper()
	h := http.Header{}
	standin.SetRequestID(h, requestID)
	set(h)
	resp := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: h,
		Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
	}
	var b strings.Builder
	assert.Check(t, resp.Write(&b))
	return b.String()
}

// TestCopyOfRefusalToAnotherRequestIsIgnored guards against a request that its client is told was
// not run, or that runs at a second server, although a server ran it: before its own response,
// the server sends a refusal of an earlier request once more.
func TestCopyOfRefusalToAnotherRequestIsIgnored(t *testing.T) {
	const event = "id: 1\ndata: own\n\n"
	sign := func(h http.Header) { standin.SetSignature(h, "s") }
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		for _, path := range []string{standin.PathUnsafe, standin.PathSafe, standin.PathResumable} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				f := newFleet(t)
				f.putConfig()
				for _, service := range []string{"plain", "model"} {
					for _, n := range []string{"1", "2"} {
						srv := f.startServer(service, service+n, 0)
						srv.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
							refusal := responseBytes(t, status, "refused", "full", standin.SetNotExecuted)
							own := responseBytes(t, http.StatusOK, srv.RecordRequest(r), event, sign)
							conn, _, err := http.NewResponseController(w).Hijack()
							if !assert.Check(t, err) {
								return true
							}
							defer func() { _ = conn.Close() }()
							_, _ = io.WriteString(conn, refusal+own+refusal)
							return true
						})
					}
				}
				got := f.startEntry("e1", 0).waitReady().waitRegistered().do(keyedCall(path, "r", "key-1"))
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, event)
				runs := 0
				for _, srv := range f.servers {
					runs += len(srv.ExecutedRequests())
				}
				assert.Equal(t, runs, 1)
			})
		}
	}
}
