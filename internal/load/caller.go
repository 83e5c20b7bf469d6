package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

const (
	// silenceTimeout is how long an open stream may be silent: three keep-alives.
	silenceTimeout = 3 * time.Second
	// defaultDeadline is assumed for requests that send none.
	defaultDeadline = 3 * time.Second
	// deadlineGrace is how long after its deadline a caller still waits to be told.
	deadlineGrace = 5 * time.Second
	// answerGrace is how long after its deadline one answer may stay away before
	// the connection is presumed lost.
	answerGrace   = time.Second
	reattachPause = 50 * time.Millisecond
	maxEventBytes = 16 << 20
	idlePerEntry  = 256
)

// Caller sends requests to entries as a client does, and re-attaches after a cut.
type Caller struct {
	// Entries are base URLs.
	Entries []string
	client  *http.Client
}

// NewCaller returns a caller of the entries.
func NewCaller(entries []string) *Caller {
	return &Caller{Entries: entries, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idlePerEntry, DisableCompression: true,
	}}}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// exchange is the state of one request at the caller.
type exchange struct {
	req     Request
	out     Outcome
	due     time.Time
	lastID  uint64
	chunks  uint64
	sum     *xxhash.Digest
	lastAt  time.Time
	settled bool
}

// Do sends a request to the entry of that index and returns its outcome. Latencies
// count from due.
func (c *Caller) Do(ctx context.Context, req Request, entry int, due time.Time) Outcome {
	x := &exchange{req: req, due: due, sum: xxhash.New(), out: Outcome{
		Nonce: req.Nonce, Call: req.Call, Customer: req.Customer, Due: req.At, Texts: map[string]string{},
	}}
	ctx, cancel := context.WithTimeout(ctx, x.timeout()+deadlineGrace)
	defer cancel()
	err := c.attempt(ctx, x, http.MethodPost, c.Entries[entry%len(c.Entries)]+"/v1/calls/"+req.Call)
	for i := entry; !x.settled && x.out.RequestID != "" && ctx.Err() == nil; i++ {
		time.Sleep(reattachPause)
		x.out.Reattached++
		err = c.attempt(ctx, x, http.MethodGet, c.Entries[i%len(c.Entries)]+"/v1/requests/"+x.out.RequestID)
	}
	x.conclude(err, ctx.Err() != nil)
	return x.out
}

func (x *exchange) conclude(err error, late bool) {
	x.out.Total = time.Since(x.due)
	if x.settled {
		return
	}
	x.out.Class = Unknown
	if late {
		x.out.Class = NoOutcome
	}
	if err != nil {
		x.out.Message = err.Error()
	}
}

// attempt makes one HTTP exchange. A cut or a silent connection is an error.
func (c *Caller) attempt(ctx context.Context, x *exchange, method, url string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := time.AfterFunc(silenceTimeout, cancel)
	defer quiet.Stop()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader(x.req.Body)
	}
	httpReq, err := http.NewRequestWithContext(x.traceID(ctx), method, url, body)
	if err != nil {
		return err
	}
	x.setHeaders(httpReq)
	if !x.req.Stream {
		quiet.Reset(x.patience())
	}
	resp, err := c.client.Do(httpReq)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if id := resp.Header.Get("Request-Id"); id != "" {
		x.out.RequestID = id
	}
	reader := &quietReader{Reader: resp.Body, quiet: quiet, patience: x.patience()}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return x.readEvents(reader)
	}
	return x.readAnswer(resp.StatusCode, reader)
}

// traceID takes the request id from the early hints, which come before any work.
func (x *exchange) traceID(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if id := header.Get("Request-Id"); id != "" {
				x.out.RequestID = id
			}
			return nil
		},
	})
}

// patience is how long the exchange may be silent. One answer is silent until the
// request's deadline.
func (x *exchange) patience() time.Duration {
	if x.req.Stream {
		return silenceTimeout
	}
	return x.timeout() + answerGrace
}

func (x *exchange) timeout() time.Duration {
	if x.req.Timeout > 0 {
		return x.req.Timeout
	}
	return defaultDeadline
}

func (x *exchange) setHeaders(r *http.Request) {
	r.Header.Set("Customer", x.req.Customer)
	r.Header.Set("Customer-Key", x.req.CustomerKey)
	r.Header.Set("Content-Type", "application/json")
	if x.req.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", x.req.IdempotencyKey)
	}
	if x.req.Prefix != "" {
		r.Header.Set("Prompt-Prefix", x.req.Prefix)
	}
	if x.req.Timeout > 0 {
		r.Header.Set("Request-Timeout", strconv.FormatInt(x.req.Timeout.Milliseconds(), 10))
	}
	if x.req.Stream {
		r.Header.Set("Accept", "text/event-stream")
	}
	if r.Method == http.MethodGet && x.lastID > 0 {
		r.Header.Set("Last-Event-ID", strconv.FormatUint(x.lastID, 10))
	}
}

// quietReader postpones the silence timer whenever bytes arrive.
type quietReader struct {
	io.Reader
	quiet    *time.Timer
	patience time.Duration
}

func (q *quietReader) Read(b []byte) (int, error) {
	n, err := q.Reader.Read(b)
	if n > 0 {
		q.quiet.Reset(q.patience)
	}
	return n, err
}

type answerBody struct {
	RequestID string            `json:"request_id"`
	Answer    map[string]string `json:"answer"`
	Checksum  string            `json:"checksum"`
}

type errorBody struct {
	Code         result.Code `json:"code"`
	Message      string      `json:"message"`
	Ran          string      `json:"ran"`
	Effects      string      `json:"effects"`
	RetryAfterMS int64       `json:"retry_after_ms"`
	RequestID    string      `json:"request_id"`
}

func (x *exchange) readAnswer(status int, r io.Reader) error {
	text, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return x.fail(text, status)
	}
	var a answerBody
	if err := json.Unmarshal(text, &a); err != nil {
		return errors.Wrap(err, "answer")
	}
	x.settled, x.out.Class, x.out.Texts = true, Complete, a.Answer
	x.out.FirstText = time.Since(x.due)
	if a.RequestID != x.out.RequestID && x.out.RequestID != "" {
		x.out.Wrong = "request id differs between header and body"
	}
	return nil
}

func (x *exchange) fail(text []byte, status int) error {
	var e errorBody
	if err := json.Unmarshal(text, &e); err != nil || e.Code == 0 {
		return errors.Newf("status %d without an error body", status)
	}
	x.settled, x.out.Class = true, Unknown
	x.out.Code, x.out.Message, x.out.Ran, x.out.Effects = e.Code, e.Message, e.Ran, e.Effects
	x.out.RetryAfter = time.Duration(e.RetryAfterMS) * time.Millisecond
	if e.Effects == result.RanNo.String() {
		x.out.Class = Refused
	}
	return nil
}

// readEvents reads server-sent events until the last one.
func (x *exchange) readEvents(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 4096), maxEventBytes)
	var id uint64
	var kind, data string
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case lines.Text() == "":
			if kind != "" {
				if err := x.event(id, kind, data); err != nil || x.settled {
					return err
				}
			}
			kind, data = "", ""
		case field == "id":
			id, _ = strconv.ParseUint(value, 10, 64)
		case field == "event":
			kind = value
		case field == "data":
			data += value
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

type chunkData struct {
	Stage string `json:"stage"`
	Text  string `json:"text"`
}

type doneData struct {
	Chunks   uint64 `json:"chunks"`
	Checksum string `json:"checksum"`
}

func (x *exchange) event(id uint64, kind, data string) error {
	if id != x.lastID+1 {
		x.settled, x.out.Class = true, Complete
		x.out.Wrong = fmt.Sprintf("event %d after %d", id, x.lastID)
		return nil
	}
	x.lastID = id
	switch kind {
	case "request":
		var e errorBody
		_ = json.Unmarshal([]byte(data), &e)
		x.out.RequestID = e.RequestID
	case "chunk":
		return x.chunk(data)
	case "done":
		return x.done(data)
	case "error":
		return x.fail([]byte(data), http.StatusOK)
	}
	return nil
}

func (x *exchange) chunk(data string) error {
	var c chunkData
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return errors.Wrap(err, "chunk")
	}
	now := time.Now()
	if x.chunks == 0 {
		x.out.FirstText = now.Sub(x.due)
	} else {
		x.out.Gaps = append(x.out.Gaps, now.Sub(x.lastAt))
	}
	x.chunks++
	x.lastAt = now
	x.out.Texts[c.Stage] += c.Text
	_, _ = x.sum.WriteString(c.Text)
	return nil
}

func (x *exchange) done(data string) error {
	var d doneData
	if err := json.Unmarshal([]byte(data), &d); err != nil {
		return errors.Wrap(err, "done")
	}
	x.settled, x.out.Class = true, Complete
	if d.Chunks != x.chunks {
		x.out.Wrong = fmt.Sprintf("%d chunks, %d announced", x.chunks, d.Chunks)
	}
	if sum := fmt.Sprintf("%016x", x.sum.Sum64()); sum != d.Checksum {
		x.out.Wrong = fmt.Sprintf("checksum %s, announced %s", sum, d.Checksum)
	}
	return nil
}
