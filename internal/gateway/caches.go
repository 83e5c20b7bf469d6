package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/internal/bounded"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// cacheListTimeout bounds the call to one server. A later answer comes after the first
	// requests were placed.
	cacheListTimeout = 400 * time.Millisecond
	// maxCacheListBytes bounds an answer.
	maxCacheListBytes = 256 << 10
	// cacheListConcurrency bounds the calls at the same time.
	cacheListConcurrency = 24
)

// cacheReader asks model servers which prompt parts they have cached. An entry that begins to
// place requests knows of no cache, and would have shared parts processed again on servers
// that happen to be free.
type cacheReader struct {
	running sync.Mutex
}

// ReadCaches asks the model servers which prompt parts they have cached, for the planner. It does
// nothing while another call is running.
func (g *Gateway) ReadCaches(ctx context.Context) {
	if !g.cacheReader.running.TryLock() {
		return
	}
	defer g.cacheReader.running.Unlock()
	start := clock.Now()
	var calls errgroup.Group
	calls.SetLimit(cacheListConcurrency)
	var read, failed, parts atomic.Int64
	for _, srv := range g.cacheServers() {
		calls.Go(func() error {
			ids, err := g.readCache(ctx, srv)
			if err != nil {
				failed.Add(1)
				g.Log.V(1).Info("Prompt cache not read.", "server", srv.ID, "cause", err.Error())
				return nil
			}
			g.Planner.LearnCached(notice.Server{ID: srv.ID, StartTime: srv.StartTime}, ids)
			read.Add(1)
			parts.Add(int64(len(ids)))
			return nil
		})
	}
	_ = calls.Wait()
	g.Log.Info("Prompt caches read.", "servers", read.Load(), "failed", failed.Load(), "parts", parts.Load(), "took", clock.Now()-start)
}

// cacheServers returns the model servers that may be asked: not those that are cold, name a
// limit or want no requests, which a call would use up or violate.
func (g *Gateway) cacheServers() []platform.Server {
	t := g.Config.Table()
	if t == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	var servers []platform.Server
	for _, svc := range t.Services() {
		if svc.Model == nil {
			continue
		}
		for _, s := range g.Servers.Usable(svc.Name) {
			start := notice.Server{ID: s.ID, StartTime: s.StartTime}
			_, limited := g.notices.Rate(now, start)
			cold := svc.Cold.Enabled() && now < g.Servers.ColdUntil(s.ID, svc.Cold.ColdStart)
			if !limited && !cold && !g.pauses.Active(now, start) {
				servers = append(servers, s)
			}
		}
	}
	return servers
}

// readCache returns the IDs of the prompt parts that a server has cached.
func (g *Gateway) readCache(ctx context.Context, srv platform.Server) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	sentAt := clock.Now()
	resp, err := g.Upstream.Do(ctx, &upstream.Request{
		Address: srv.Address, Method: http.MethodGet, Target: platform.CacheListPath, Host: srv.Address, Header: platform.CacheListHeader(srv.ID),
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	g.recordNotices(notice.Server{ID: srv.ID, StartTime: srv.StartTime}, sentAt, platform.DecodeServerResponse(resp.StatusCode, resp.Header), false)
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d", resp.StatusCode)
	}
	body, err := bounded.ReadAll(resp.Body, maxCacheListBytes)
	if err != nil {
		return nil, err
	}
	return platform.DecodeCacheList(body)
}
