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

// refusal is an answer of the entry's own.
type refusal struct {
	code result.Code
	// after is when to come back; only answers which promise that the request has
	// not run and never will carry it.
	after time.Duration
	cause string
	// close ends the connection after the answer.
	close bool
}

func refused(code result.Code, cause string, after time.Duration) *refusal {
	return &refusal{code: code, cause: cause, after: after}
}

// refuse answers a request itself.
func (g *Gateway) refuse(w http.ResponseWriter, req *request, r *refusal) {
	if r.close {
		w.Header().Set("Connection", "close")
	}
	status := r.code.HTTP()
	body, err := json.Marshal(answers.NewErrorData(req.ID, r.err()))
	if err != nil {
		req.log.Error(err, "Refusal without a body.")
	}
	platform.SetErrorHeader(w.Header(), req.ID, r.after)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
	g.metrics.refused(r.code)
	req.log.Info("Request answered by the entry.", "code", uint32(r.code), "status", status, "cause", r.cause, "retry_after", r.after,
		"route", req.routeName(), "version", req.version, "config_age", g.Config.Age(), "held", clock.Now()-req.arrived, "tries", req.tries)
}

// err returns the result that the answer stands for.
func (r *refusal) err() *result.Error {
	ran := result.RanNo
	if status := r.code.HTTP(); status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		ran = result.RanUnknown
	}
	return &result.Error{Code: r.code, Message: r.cause, Ran: ran, Effects: ran, RetryAfter: r.after}
}

func (r *request) routeName() string {
	if r.route == nil {
		return ""
	}
	return r.route.Name
}

// failed answers for a request that may have run.
func failed(cause string) *refusal { return &refusal{code: result.ServerFailed, cause: cause} }

// timedOut answers for a request that may have run and whose time is over.
func timedOut(cause string) *refusal { return &refusal{code: result.DeadlineExceeded, cause: cause} }
