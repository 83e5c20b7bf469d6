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
	"github.com/magnoliawheel/magnoliawheel/internal/bounded"
	"github.com/magnoliawheel/magnoliawheel/internal/httpcheck"
)

const (
	// silenceTimeout is the time without data after which a stream's connection is
	// presumed lost: three keep-alive intervals.
	silenceTimeout = 3 * time.Second
	// defaultDeadline is assumed for requests without a timeout.
	defaultDeadline = 3 * time.Second
	// outcomeGrace is how long after its deadline a caller still waits for an outcome.
	outcomeGrace = 5 * time.Second
	// answerGrace is how long after its deadline the response to a request that is not
	// a stream may be late before the connection is presumed lost.
	answerGrace          = time.Second
	reattachDelay        = 50 * time.Millisecond
	maxEventBytes        = 16 << 20
	maxAnswerBytes       = 128 << 20
	maxIdleConnsPerEntry = 256
)

// Caller sends requests to entries as a client does, and reattaches to a request when
// its connection is lost.
type Caller struct {
	// Entries are the base URLs of the entries.
	Entries []string
	client  *http.Client
}

// NewCaller returns a caller of the entries.
func NewCaller(entries []string) *Caller {
	return &Caller{Entries: entries, client: &http.Client{Transport: httpcheck.Transport(&http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerEntry, DisableCompression: true,
	})}}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// requestState is the state of one request, over all its connections.
type requestState struct {
	req         Request
	outcome     Outcome
	scheduledAt time.Time
	lastEventID uint64
	chunkCount  uint64
	checksum    *xxhash.Digest
	lastChunkAt time.Time
	finished    bool
}

// Do sends a request to the entry with that index, modulo the number of entries, and
// returns its outcome. Latencies are measured from scheduledAt.
func (c *Caller) Do(ctx context.Context, req Request, entry int, scheduledAt time.Time) Outcome {
	x := &requestState{req: req, scheduledAt: scheduledAt, checksum: xxhash.New(), outcome: Outcome{
		Nonce: req.Nonce, Call: req.Call, Customer: req.Customer, ScheduledAt: req.ScheduledAt, Texts: map[string]string{},
	}}
	ctx, cancel := context.WithTimeout(ctx, x.timeout()+outcomeGrace)
	defer cancel()
	err := c.attempt(ctx, x, http.MethodPost, c.Entries[entry%len(c.Entries)]+"/v1/calls/"+req.Call)
	for i := entry; !x.finished && x.outcome.RequestID != "" && ctx.Err() == nil; i++ {
		time.Sleep(reattachDelay)
		x.outcome.Reattachments++
		err = c.attempt(ctx, x, http.MethodGet, c.Entries[i%len(c.Entries)]+"/v1/requests/"+x.outcome.RequestID)
	}
	x.finish(err, ctx.Err() != nil)
	return x.outcome
}

// finish completes the outcome. A request without an answer or an error that an entry
// reported ends with Unknown, or with NoOutcome if the time to wait for one has passed.
func (x *requestState) finish(err error, timedOut bool) {
	x.outcome.TotalLatency = time.Since(x.scheduledAt)
	if x.finished {
		return
	}
	x.outcome.Class = Unknown
	if timedOut {
		x.outcome.Class = NoOutcome
	}
	if err != nil {
		x.outcome.Message = err.Error()
	}
}

// attempt sends one HTTP request and reads its response. A connection that is lost or
// silent is an error.
func (c *Caller) attempt(ctx context.Context, x *requestState, method, url string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(silenceTimeout, cancel)
	defer silenceTimer.Stop()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader(x.req.Body)
	}
	httpReq, err := http.NewRequestWithContext(x.withRequestIDTrace(ctx), method, url, body)
	if err != nil {
		return err
	}
	x.setHeaders(httpReq)
	if !x.req.Stream {
		silenceTimer.Reset(x.maxSilence())
	}
	resp, err := c.client.Do(httpReq)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if id := resp.Header.Get("Request-Id"); id != "" {
		x.outcome.RequestID = id
	}
	reader := &watchedReader{Reader: resp.Body, silenceTimer: silenceTimer, maxSilence: x.maxSilence()}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return x.readEvents(reader)
	}
	return x.readAnswer(resp.StatusCode, reader)
}

// withRequestIDTrace returns a context in which the request id is read from the early
// hints (1xx responses), which are sent before any work starts.
func (x *requestState) withRequestIDTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if id := header.Get("Request-Id"); id != "" {
				x.outcome.RequestID = id
			}
			return nil
		},
	})
}

// maxSilence is the time without data after which a connection is presumed lost. The
// response to a request that is not a stream may take until the request's deadline.
func (x *requestState) maxSilence() time.Duration {
	if x.req.Stream {
		return silenceTimeout
	}
	return x.timeout() + answerGrace
}

// timeout is the time within which an entry must answer the request.
func (x *requestState) timeout() time.Duration {
	if x.req.Timeout > 0 {
		return x.req.Timeout
	}
	return defaultDeadline
}

func (x *requestState) setHeaders(r *http.Request) {
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
	if r.Method == http.MethodGet && x.lastEventID > 0 {
		r.Header.Set("Last-Event-ID", strconv.FormatUint(x.lastEventID, 10))
	}
}

// watchedReader restarts the silence timer with each read that returns data.
type watchedReader struct {
	io.Reader
	silenceTimer *time.Timer
	maxSilence   time.Duration
}

func (w *watchedReader) Read(b []byte) (int, error) {
	n, err := w.Reader.Read(b)
	if n > 0 {
		w.silenceTimer.Reset(w.maxSilence)
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

// readAnswer reads a response that is not a stream.
func (x *requestState) readAnswer(status int, r io.Reader) error {
	text, err := bounded.ReadAll(r, maxAnswerBytes)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return x.handleError(text, status)
	}
	var a answerBody
	if err := json.Unmarshal(text, &a); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	x.finished, x.outcome.Class, x.outcome.Texts = true, Complete, a.Answer
	x.outcome.FirstTextLatency = time.Since(x.scheduledAt)
	if a.RequestID != x.outcome.RequestID && x.outcome.RequestID != "" {
		x.outcome.Defect = "the request ids in the header and the body differ"
	}
	return nil
}

// handleError finishes the request with the error in an error body.
func (x *requestState) handleError(body []byte, status int) error {
	var e errorBody
	if err := json.Unmarshal(body, &e); err != nil || e.Code == 0 {
		return errors.Newf("response with status %d has no error body", status)
	}
	x.finished, x.outcome.Class = true, Unknown
	x.outcome.Code, x.outcome.Message, x.outcome.Ran, x.outcome.Effects = e.Code, e.Message, e.Ran, e.Effects
	x.outcome.RetryAfter = time.Duration(e.RetryAfterMS) * time.Millisecond
	if e.Effects == result.RanNo.String() {
		x.outcome.Class = Refused
	}
	return nil
}

// readEvents handles server-sent events up to the last one of the answer.
func (x *requestState) readEvents(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 4096), maxEventBytes)
	var id uint64
	var eventType, data string
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case lines.Text() == "":
			if eventType != "" {
				if err := x.handleEvent(id, eventType, data); err != nil || x.finished {
					return err
				}
			}
			eventType, data = "", ""
		case field == "id":
			id, _ = strconv.ParseUint(value, 10, 64)
		case field == "event":
			eventType = value
		case field == "data":
			if len(data)+len(value) > maxEventBytes {
				return errors.Newf("event of more than %d bytes", maxEventBytes)
			}
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

// handleEvent handles one event. An event out of sequence finishes the request with a
// defect.
func (x *requestState) handleEvent(id uint64, eventType, data string) error {
	if id != x.lastEventID+1 {
		x.finished, x.outcome.Class = true, Complete
		x.outcome.Defect = fmt.Sprintf("event %d received after event %d", id, x.lastEventID)
		return nil
	}
	x.lastEventID = id
	switch eventType {
	case "request":
		var e errorBody
		_ = json.Unmarshal([]byte(data), &e)
		x.outcome.RequestID = e.RequestID
	case "chunk":
		return x.handleChunk(data)
	case "done":
		return x.handleDone(data)
	case "error":
		return x.handleError([]byte(data), http.StatusOK)
	}
	return nil
}

// handleChunk adds a chunk to the answer and records its latency.
func (x *requestState) handleChunk(data string) error {
	var c chunkData
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return errors.Wrap(err, "decode chunk event")
	}
	now := time.Now()
	if x.chunkCount == 0 {
		x.outcome.FirstTextLatency = now.Sub(x.scheduledAt)
	} else {
		x.outcome.ChunkGaps = append(x.outcome.ChunkGaps, now.Sub(x.lastChunkAt))
	}
	x.chunkCount++
	x.lastChunkAt = now
	x.outcome.Texts[c.Stage] += c.Text
	_, _ = x.checksum.WriteString(c.Text)
	return nil
}

// handleDone finishes the request and verifies the number of chunks and the checksum.
func (x *requestState) handleDone(data string) error {
	var d doneData
	if err := json.Unmarshal([]byte(data), &d); err != nil {
		return errors.Wrap(err, "decode done event")
	}
	x.finished, x.outcome.Class = true, Complete
	if d.Chunks != x.chunkCount {
		x.outcome.Defect = fmt.Sprintf("received %d chunks, %d announced", x.chunkCount, d.Chunks)
	}
	if checksum := fmt.Sprintf("%016x", x.checksum.Sum64()); checksum != d.Checksum {
		x.outcome.Defect = fmt.Sprintf("checksum is %s, %s announced", checksum, d.Checksum)
	}
	return nil
}
