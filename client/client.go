// Package client calls a magnoliawheel deployment. It implements the caller's side
// of the protocol: it creates idempotency keys, reads answers as streams, resumes a
// stream at another entry when the connection is lost, honors the retry delay that
// an entry asks for, and never retries work that may have had effects.
package client

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/magnoliawheel/magnoliawheel/internal/httpcheck"
)

const (
	// DefaultTimeout applies to calls without a timeout and without a deadline.
	DefaultTimeout = 30 * time.Second
	// silenceTimeout is the time without data after which a connection is presumed
	// lost. Entries send a keep-alive comment every second.
	silenceTimeout = 3 * time.Second
	// reattachDelay is the delay between two rounds of reattaching at all entries,
	// and the delay before a call is sent again after a connection failure.
	reattachDelay = 100 * time.Millisecond
	// minRetryTime is the minimum time that must remain before the deadline for the
	// call to be sent again.
	minRetryTime = time.Millisecond
)

// ErrOutcomeUnknown means that the call may have been executed and that no entry
// could report its outcome. Work that is not idempotent must not simply be retried.
var ErrOutcomeUnknown = errors.New("client: the outcome of the call is unknown")

// ErrNotSent means that no connection to an entry could be established, so that
// nothing was sent.
var ErrNotSent = errors.New("client: no entry is reachable")

// Options configures a Client.
type Options struct {
	// Entries are the base URLs of the entries, or of a load balancer in front of
	// them, such as http://10.0.0.1:8080. Each call starts with the first one and
	// moves on to the next when an entry cannot be used.
	Entries []string
	// Customer and Key identify and authenticate the caller.
	Customer, Key string
	// HTTP is the client used for all requests; if nil, a new one is created.
	HTTP *http.Client
}

// Client calls a deployment. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client
}

// New validates the options and returns a client.
func New(o Options) (*Client, error) {
	if len(o.Entries) == 0 {
		return nil, errors.New("client: no entries configured")
	}
	entries := make([]string, len(o.Entries))
	for i, e := range o.Entries {
		if !strings.HasPrefix(e, "http://") && !strings.HasPrefix(e, "https://") {
			return nil, errors.Newf("client: entry %q is not an http or https URL", e)
		}
		entries[i] = strings.TrimRight(e, "/")
	}
	o.Entries = entries
	return &Client{opts: o, http: checkedClient(o.HTTP)}, nil
}

// checkedClient returns a client that refuses what is no response of an entry. It uses the transport
// of base, or one of its own if base is nil.
func checkedClient(base *http.Client) *http.Client {
	if base == nil {
		return &http.Client{Transport: httpcheck.Transport(http.DefaultTransport.(*http.Transport).Clone())}
	}
	checked := *base
	if checked.Transport == nil {
		checked.Transport = http.DefaultTransport
	}
	checked.Transport = httpcheck.Responses(checked.Transport)
	return &checked
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// NewKey creates an idempotency key, which is a UUIDv7. Each new call needs its own
// key; a retry of the same call uses the same key.
func NewKey() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "create idempotency key")
	}
	return id.String(), nil
}

// Call is one call of the deployment's API.
type Call struct {
	// Name is the name of the call in the schema.
	Name string
	Body []byte
	// ContentType is the media type of Body; empty means application/json.
	ContentType string
	// Timeout bounds the whole call including all retries. If it is 0, the context's
	// deadline applies, or DefaultTimeout if there is none.
	Timeout time.Duration
	// IdempotencyKey protects work that is not idempotent: calls with the same key
	// are executed at most once.
	IdempotencyKey string
	// Idempotent states that the call has no effects, so that it may be retried when
	// its outcome is unknown.
	Idempotent bool
	// PromptPrefix identifies the prompt prefix that the call shares with others.
	PromptPrefix string
	// OnRequest is called with the id of each request, which the entry sends before
	// the work starts.
	OnRequest func(id string)
	// OnChunk is called with each chunk of the answer as it arrives. After the first
	// one, the call is not retried.
	OnChunk func(stage, text string)
}

// StageText is the text of one stage of an answer.
type StageText struct {
	Stage string `json:"stage"`
	Text  string `json:"text"`
}

// Answer is a complete answer whose checksum was verified.
type Answer struct {
	RequestID string      `json:"request_id"`
	Stages    []StageText `json:"stages"`
	// Checksum is the xxHash64 of all texts in order, in hexadecimal.
	Checksum string `json:"checksum"`
	// Requests counts the requests that were sent, Reattachments the connections that
	// resumed their streams.
	Requests      int `json:"requests"`
	Reattachments int `json:"reattachments"`
}

// Error is a refusal or failure reported by an entry.
type Error struct {
	// Code is a numbered result code; docs/RESULT-CODES.md lists them.
	Code    uint32 `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
	// Ran and Effects are "no", "yes" or "unknown": whether any stage was executed, and
	// whether any stage that is not idempotent was.
	Ran          string `json:"ran"`
	Effects      string `json:"effects"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	RequestID    string `json:"request_id"`
}

// Error returns the code and message.
func (e *Error) Error() string { return e.Name + ": " + e.Message }

// MayRepeat reports whether it is safe to retry the call.
func (e *Error) MayRepeat() bool { return e.Effects == "no" }

// RetryAfter is the delay after which a retry may succeed; 0 if none is known.
func (e *Error) RetryAfter() time.Duration { return time.Duration(e.RetryAfterMS) * time.Millisecond }

// Do makes a call. The error is an *Error if an entry refused the call or reported
// its failure, ErrOutcomeUnknown, ErrNotSent, ErrCorrupt, or the error of the
// context.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	timeout := call.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
		if deadline, ok := ctx.Deadline(); ok {
			timeout = time.Until(deadline)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	x := &callState{client: c, call: call}
	return x.run(ctx)
}

// Cancel cancels a request through the first entry that accepts the cancellation.
func (c *Client) Cancel(ctx context.Context, id string) error {
	var lastErr error
	for _, entry := range c.opts.Entries {
		req, err := c.newRequest(ctx, http.MethodDelete, entry+"/v1/requests/"+id, nil)
		if err != nil {
			return err
		}
		res, err := c.http.Do(req)
		if err != nil {
			lastErr = err
			continue
		}
		lastErr = readError(res)
		_ = res.Body.Close()
		if lastErr == nil {
			return nil
		}
	}
	return lastErr
}
