// Package client calls a magnoliawheel deployment. It does the caller's part of
// the protocol: it mints idempotency keys, reads answers as streams, goes on
// reading at another entry after a cut, waits as long as an entry asks before
// coming back, and never repeats work that may have had effects.
package client

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	// DefaultTimeout applies to calls without a timeout and without a deadline.
	DefaultTimeout = 30 * time.Second
	// silenceTimeout is how long a stream may be silent before it is presumed cut;
	// entries send a comment every second.
	silenceTimeout = 3 * time.Second
	// reattachWait is the wait between two rounds of re-attachment.
	reattachWait = 100 * time.Millisecond
	// minimumTimeout is the least time left in which another attempt is made.
	minimumTimeout = time.Millisecond
)

// ErrOutcomeUnknown means that the call may have been executed and that nobody
// could be asked. Work that is not idempotent must not be repeated blindly.
var ErrOutcomeUnknown = errors.New("client: the outcome of the call is not known")

// ErrNotSent means that no entry could be reached, so that nothing was sent.
var ErrNotSent = errors.New("client: no entry can be reached")

// Options sets up a Client.
type Options struct {
	// Entries are the base URLs of entries or of a balancer before them, such as
	// http://10.0.0.1:8080. They are tried in order, starting with the one that
	// answered last.
	Entries []string
	// Customer and Key say who calls.
	Customer, Key string
	// HTTP is used for all requests; nil takes a client of its own.
	HTTP *http.Client
}

// Client calls a deployment. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client
}

// New returns a client.
func New(o Options) (*Client, error) {
	if len(o.Entries) == 0 {
		return nil, errors.New("client: no entries are given")
	}
	entries := make([]string, len(o.Entries))
	for i, e := range o.Entries {
		if !strings.HasPrefix(e, "http://") && !strings.HasPrefix(e, "https://") {
			return nil, errors.Newf("client: entry %q is not an http or https URL", e)
		}
		entries[i] = strings.TrimRight(e, "/")
	}
	o.Entries = entries
	c := &Client{opts: o, http: o.HTTP}
	if c.http == nil {
		c.http = &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	}
	return c, nil
}

// Close closes the unused connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// NewKey mints an idempotency key, a UUIDv7. Each new piece of work needs one of
// its own; a repetition of the same work carries the same key.
func NewKey() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "mint idempotency key")
	}
	return id.String(), nil
}

// Call is one piece of work.
type Call struct {
	// Name is the name of the call in the schema.
	Name string
	Body []byte
	// ContentType is application/json if empty.
	ContentType string
	// Timeout bounds the whole call with all repetitions; 0 leaves it to the
	// context's deadline, or else to DefaultTimeout.
	Timeout time.Duration
	// IdempotencyKey protects work that is not idempotent: a repetition with the
	// same key runs at most once.
	IdempotencyKey string
	// Idempotent tells that the call has no effects, so that it may be repeated
	// when its outcome is not known.
	Idempotent bool
	// PromptPrefix names the prompt prefix that requests share.
	PromptPrefix string
	// OnRequest is called with the id of each request made, before its work starts.
	OnRequest func(id string)
	// OnChunk is called with each part of the answer as it comes. Once a part was
	// given, the call is not repeated.
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
	// Requests and Reattachments count what it took.
	Requests      int `json:"requests"`
	Reattachments int `json:"reattachments"`
}

// Error is a refusal or failure told by an entry.
type Error struct {
	// Code is a numbered result code; docs/RESULT-CODES.md lists them.
	Code    uint32 `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
	// Ran and Effects are "no", "yes" or "unknown": whether any stage ran, and
	// whether any stage that is not idempotent did.
	Ran          string `json:"ran"`
	Effects      string `json:"effects"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	RequestID    string `json:"request_id"`
}

// Error returns the code and message.
func (e *Error) Error() string { return e.Name + ": " + e.Message }

// MayRepeat tells whether repeating the call is safe.
func (e *Error) MayRepeat() bool { return e.Effects == "no" }

// RetryAfter is when coming back helps; 0 if it does not.
func (e *Error) RetryAfter() time.Duration { return time.Duration(e.RetryAfterMS) * time.Millisecond }

// Do makes a call. The error is *Error when an entry refused or failed the call,
// ErrOutcomeUnknown when nobody could tell, ErrNotSent, ErrCorrupt, or that of
// the context.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	timeout := call.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
		if at, ok := ctx.Deadline(); ok {
			timeout = time.Until(at)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	x := &exchange{client: c, call: call}
	return x.run(ctx)
}

// Cancel cancels a request at any entry that answers.
func (c *Client) Cancel(ctx context.Context, id string) error {
	var last error
	for _, entry := range c.opts.Entries {
		req, err := c.request(ctx, http.MethodDelete, entry+"/v1/requests/"+id, nil)
		if err != nil {
			return err
		}
		res, err := c.http.Do(req)
		if err != nil {
			last = err
			continue
		}
		last = readError(res)
		_ = res.Body.Close()
		if last == nil {
			return nil
		}
	}
	return last
}
