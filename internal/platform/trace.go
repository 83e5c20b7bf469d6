package platform

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// traceSent returns the request with a flag that is set once a connection was
// handed to it: from then on, bytes of the request may reach the server.
func traceSent(req *http.Request) (*atomic.Bool, *http.Request) {
	sent := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return sent, req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}
