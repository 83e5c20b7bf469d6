package platform

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
)

// httpList is an InstanceList over HTTP.
type httpList struct {
	baseURL string
	client  *http.Client

	mu        sync.Mutex
	etag      string
	lastReply listReply
}

// NewHTTPList returns a client of the instance list at a base URL.
func NewHTTPList(baseURL string, opts ...ClientOption) InstanceList {
	return &httpList{baseURL: strings.TrimRight(baseURL, "/"), client: newClient(opts)}
}

type listReply struct {
	AsOf      time.Time             `json:"as_of"`
	Instances []membership.Instance `json:"instances"`
}

// confirmUnchanged returns the previous list after the server replied that it is
// unchanged. That response has no time, so the time of the list is advanced by the
// smallest step to make it newer.
func (l *httpList) confirmUnchanged(last listReply) ([]membership.Instance, time.Time, error) {
	last.AsOf = last.AsOf.Add(1)
	l.mu.Lock()
	l.lastReply = last
	l.mu.Unlock()
	return last.Instances, last.AsOf, nil
}

// List implements InstanceList. The error is ErrUnavailable. If the server sends an
// ETag, an unchanged list is not transferred again.
func (l *httpList) List(ctx context.Context) ([]membership.Instance, time.Time, error) {
	ctx, cancel := withTimeout(ctx, 0)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.baseURL+"/v1/instances", nil)
	if err != nil {
		return nil, time.Time{}, errors.Wrap(err, "list instances")
	}
	l.mu.Lock()
	etag, last := l.etag, l.lastReply
	l.mu.Unlock()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	res, err := l.client.Do(req)
	if err != nil {
		return nil, time.Time{}, errors.Wrapf(ErrUnavailable, "list instances: %v", err)
	}
	defer closeBody(res.Body)
	if res.StatusCode == http.StatusNotModified && etag != "" {
		return l.confirmUnchanged(last)
	}
	if res.StatusCode != http.StatusOK {
		return nil, time.Time{}, errors.Wrapf(ErrUnavailable, "list instances: status %d", res.StatusCode)
	}
	var reply listReply
	if err := readJSON(res.Body, &reply); err != nil {
		return nil, time.Time{}, errors.Wrapf(ErrUnavailable, "list instances: %v", err)
	}
	l.mu.Lock()
	l.etag, l.lastReply = res.Header.Get("ETag"), reply
	l.mu.Unlock()
	return reply.Instances, reply.AsOf, nil
}
