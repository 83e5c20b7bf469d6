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

// httpList is the HTTP client of the instance list.
type httpList struct {
	base   string
	client *http.Client

	mu   sync.Mutex
	etag string
	last listReply
}

// NewHTTPList returns a client of the instance list at the base URL.
func NewHTTPList(baseURL string, opts ...Option) InstanceList {
	return &httpList{base: strings.TrimRight(baseURL, "/"), client: newClient(opts)}
}

type listReply struct {
	AsOf      time.Time             `json:"as_of"`
	Instances []membership.Instance `json:"instances"`
}

// again returns a list that the server confirmed, as a newer one: by the least
// step of time, since the answer does not tell its own.
func (l *httpList) again(last listReply) ([]membership.Instance, time.Time, error) {
	last.AsOf = last.AsOf.Add(1)
	l.mu.Lock()
	l.last = last
	l.mu.Unlock()
	return last.Instances, last.AsOf, nil
}

// List implements InstanceList. The error is ErrUnavailable. A list that the
// server marks with an ETag is not sent again while it is unchanged.
func (l *httpList) List(ctx context.Context) ([]membership.Instance, time.Time, error) {
	ctx, cancel := withTimeout(ctx, 0)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+"/v1/instances", nil)
	if err != nil {
		return nil, time.Time{}, errors.Wrap(err, "list instances")
	}
	l.mu.Lock()
	etag, last := l.etag, l.last
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
		return l.again(last)
	}
	if res.StatusCode != http.StatusOK {
		return nil, time.Time{}, errors.Wrapf(ErrUnavailable, "list instances: status %d", res.StatusCode)
	}
	var reply listReply
	if err := readJSON(res.Body, &reply); err != nil {
		return nil, time.Time{}, errors.Wrapf(ErrUnavailable, "list instances: %v", err)
	}
	l.mu.Lock()
	l.etag, l.last = res.Header.Get("ETag"), reply
	l.mu.Unlock()
	return reply.Instances, reply.AsOf, nil
}
