package gateway

import (
	"net/http"
	"time"

	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// refusal is an answer of the entry's own.
type refusal struct {
	status int
	// after is when to come back; only statuses that promise that the request has
	// not run and never will carry it.
	after time.Duration
	cause string
	// close ends the connection after the answer.
	close bool
}

// refuse answers a request itself.
func (g *Gateway) refuse(w http.ResponseWriter, req *request, r *refusal) {
	if r.close {
		w.Header().Set("Connection", "close")
	}
	platform.EncodeRefusal(w.Header(), req.ID, r.after)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(r.status)
	g.Scope.Tagged(map[string]string{"status": http.StatusText(r.status)}).Counter("refused").Inc(1)
	req.log.Info("Request answered by the entry.", "status", r.status, "cause", r.cause, "retry_after", r.after,
		"route", req.routeName(), "version", req.version, "config_age", g.Config.Age(), "held", clock.Now()-req.arrived, "tries", req.tries)
}

func (r *request) routeName() string {
	if r.route == nil {
		return ""
	}
	return r.route.Name
}

// notRun refuses a request that has not run.
func notRun(cause string, after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, after: after, cause: cause}
}

// failed answers for a request that may have run.
func failed(cause string) *refusal { return &refusal{status: http.StatusBadGateway, cause: cause} }

// timedOut answers for a request that may have run and whose time is over.
func timedOut(cause string) *refusal {
	return &refusal{status: http.StatusGatewayTimeout, cause: cause}
}
