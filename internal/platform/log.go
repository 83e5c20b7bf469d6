package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// httpLog is a Log over HTTP.
type httpLog struct {
	baseURL string
	client  *http.Client
}

// NewHTTPLog returns a client of the log at a base URL.
func NewHTTPLog(baseURL string, opts ...ClientOption) Log {
	return &httpLog{baseURL: strings.TrimRight(baseURL, "/"), client: newClient(opts)}
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendReply struct {
	FirstOffset uint64 `json:"first"`
}

func (l *httpLog) url(stream string) string {
	return l.baseURL + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// Append implements Log. Only a request that got no connection and status 503 are sure
// to have had no effect.
func (l *httpLog) Append(ctx context.Context, stream string, records ...[]byte) (uint64, error) {
	body, err := json.Marshal(appendRequest{Records: records})
	if err != nil {
		return 0, errors.Wrap(err, "encode records")
	}
	ctx, cancel := withTimeout(ctx, 0)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url(stream), bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "append")
	}
	// Without GetBody the transport can't send an append a second time on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	gotConn, req := withConnTrace(req)
	res, err := l.client.Do(req)
	if err != nil {
		if !gotConn.Load() {
			return 0, errors.Wrapf(ErrUnavailable, "append: %v", err)
		}
		return 0, errors.Wrapf(ErrOutcomeUnknown, "append: %v", err)
	}
	defer closeBody(res.Body)
	switch res.StatusCode {
	case http.StatusOK:
		var reply appendReply
		if err := readJSON(res.Body, &reply); err != nil || reply.FirstOffset == 0 {
			return 0, errors.Wrapf(ErrOutcomeUnknown, "append: invalid response: %v", err)
		}
		return reply.FirstOffset, nil
	case http.StatusServiceUnavailable:
		return 0, errors.Wrap(ErrUnavailable, "append")
	}
	return 0, errors.Wrapf(ErrOutcomeUnknown, "append: status %d", res.StatusCode)
}

// Read implements Log.
func (l *httpLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error) {
	ctx, cancel := withTimeout(ctx, wait)
	defer cancel()
	target := fmt.Sprintf("%s?from=%d&limit=%d&wait_ms=%d", l.url(stream), from, limit, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Batch{}, errors.Wrap(err, "read")
	}
	res, err := l.client.Do(req)
	if err != nil {
		return Batch{}, errors.Wrapf(ErrUnavailable, "read: %v", err)
	}
	defer closeBody(res.Body)
	var batch Batch
	switch res.StatusCode {
	case http.StatusOK:
		if err := readJSON(res.Body, &batch); err != nil {
			return Batch{}, errors.Wrapf(ErrUnavailable, "%v", err)
		}
		return batch, validateBatch(&batch, from)
	case http.StatusGone:
		if err := readJSON(res.Body, &batch); err != nil {
			return Batch{}, errors.Wrapf(ErrUnavailable, "%v", err)
		}
		return batch, errors.Wrapf(ErrTruncated, "read from offset %d, first offset is %d", from, batch.FirstOffset)
	}
	return Batch{}, errors.Wrapf(ErrUnavailable, "read: status %d", res.StatusCode)
}

// validateBatch returns an error unless the offsets are consecutive and start at from.
func validateBatch(b *Batch, from uint64) error {
	for i := range b.Records {
		if b.Records[i].Offset != from+uint64(i) {
			return errors.Wrapf(ErrUnavailable, "read: got offset %d, want %d", b.Records[i].Offset, from+uint64(i))
		}
	}
	return nil
}
