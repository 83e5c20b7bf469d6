package platform

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// withConnTrace returns a copy of the request with a flag that is set once the request
// got a connection: from then on, bytes of the request may have reached the server.
func withConnTrace(req *http.Request) (*atomic.Bool, *http.Request) {
	gotConn := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	return gotConn, req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}
