package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	answers "github.com/magnoliawheel/magnoliawheel/internal/answer"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// unreadBodyTimeout bounds the time for the rest of the body of a refused request, which the HTTP
// server reads before it writes the refusal.
const unreadBodyTimeout = 500 * time.Millisecond

// refusal is an error response that the entry generates itself.
type refusal struct {
	code result.Code
	// retryAfter is the Retry-After time. It is set only if the request has not run and
	// never will.
	retryAfter time.Duration
	cause      string
	// closeConnection closes the connection after the response.
	closeConnection bool
}

func newRefusal(code result.Code, cause string, retryAfter time.Duration) *refusal {
	return &refusal{code: code, cause: cause, retryAfter: retryAfter}
}

// refuseStopping returns the refusal of an entry that is stopping.
func refuseStopping() *refusal {
	return &refusal{code: result.EntryDraining, retryAfter: stoppingRetryAfter, cause: causeStopping, closeConnection: true}
}

// limitUnreadBody bounds the time for the part of a request's body that has not been read.
func limitUnreadBody(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

// refuse writes the error response of a refusal.
func (g *Gateway) refuse(w http.ResponseWriter, req *request, r *refusal) {
	if r.closeConnection {
		w.Header().Set("Connection", "close")
	}
	status := r.code.HTTP()
	body, err := json.Marshal(answers.NewErrorData(req.ID, r.resultError()))
	if err != nil {
		req.log.Error(err, "Error response could not be encoded.")
	}
	platform.SetErrorHeader(w.Header(), req.ID, r.retryAfter)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
	g.metrics.countRefusal(r.code)
	req.log.Info("Request answered by the entry.", "code", uint32(r.code), "status", status, "cause", r.cause, "retry_after", r.retryAfter,
		"route", req.routeName(), "version", req.configVersion, "config_age", g.Config.Age(), "held", clock.Now()-req.arrivedAt, "tries", req.attempts)
}

// resultError returns the error that the response reports.
func (r *refusal) resultError() *result.Error {
	ran := result.RanNo
	if status := r.code.HTTP(); status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		ran = result.RanUnknown
	}
	return &result.Error{Code: r.code, Message: r.cause, Ran: ran, Effects: ran, RetryAfter: r.retryAfter}
}

func (r *request) routeName() string {
	if r.route == nil {
		return ""
	}
	return r.route.Name
}

// serverFailure returns the refusal for a request that may have run.
func serverFailure(cause string) *refusal { return &refusal{code: result.ServerFailed, cause: cause} }

// deadlineFailure returns the refusal for a request that may have run and whose
// deadline has passed.
func deadlineFailure(cause string) *refusal {
	return &refusal{code: result.DeadlineExceeded, cause: cause}
}
