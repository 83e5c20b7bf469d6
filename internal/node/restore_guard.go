package node

import (
	"context"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/watch"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// operatorRewriteTime is the time within which the operator writes again what a store
	// that was restored from a copy has lost.
	operatorRewriteTime = 3 * time.Second
	// guardPollInterval is the time between two checks of the guard.
	guardPollInterval = 100 * time.Millisecond
	// eraMarkerTimeout bounds a call that reads or writes the marker.
	eraMarkerTimeout = 2 * time.Second
)

// restoreGuard decides when a process that starts may go by the configuration in the store.
// A store that was restored from a copy a moment ago may hold keys that were taken away
// since. Another entry that ran before knows better. If there is none, the process waits
// until the operator has written again, or has had the time to.
//
// A marker in the store says that this time has passed in an era of the store, so that only
// processes that start right after a restore wait.
type restoreGuard struct {
	store  *platform.Store
	config *watch.Config
	log    logr.Logger
	// rewriteTime is operatorRewriteTime, but for tests.
	rewriteTime time.Duration
	// isFirst reports whether the entry is the first one, which writes the marker.
	isFirst func() bool

	// era is the era of the store since eraSince.
	era      int64
	eraSince time.Duration
	// markedEra is the newest era that is known to have a marker, readEra that in which the
	// marker was read last.
	markedEra, readEra int64
}

// observeEra records the era of the store.
func (g *restoreGuard) observeEra() {
	era, _ := g.store.Era()
	if era != g.era || g.eraSince == 0 {
		g.era, g.eraSince = era, clock.Now()
	}
}

// isSettled reports whether the operator has had the time to write again in this era.
func (g *restoreGuard) isSettled() bool {
	return g.markedEra == g.era || clock.Now()-g.eraSince >= g.rewriteTime
}

// wait waits until the process may go by the configuration in the store.
func (g *restoreGuard) wait(ctx context.Context) {
	start := clock.Now()
	for g.config.Unchecked() && !g.config.Attested() && ctx.Err() == nil {
		g.observeEra()
		if g.config.Table() != nil {
			g.readMarker(ctx)
			if g.isSettled() {
				break
			}
		}
		clock.Sleep(ctx, guardPollInterval)
	}
	if waited := clock.Now() - start; waited > guardPollInterval {
		g.log.Info("Configuration was checked after a restore of the store.", "era", g.era, "waited", waited, "attested", g.config.Attested(), "marked", g.markedEra == g.era)
	}
}

// readMarker reads the marker once per era. If that fails, the process waits as if there
// were none.
func (g *restoreGuard) readMarker(ctx context.Context) {
	if g.readEra == g.era {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, eraMarkerTimeout)
	defer cancel()
	records, _, err := g.store.Newest(ctx, platform.ErasTopic)
	if err != nil {
		g.log.Info("Marker of the store's era not read.", "cause", err.Error())
		return
	}
	g.readEra = g.era
	for _, rec := range records {
		if era, err := strconv.ParseInt(string(rec.Value), 10, 64); err == nil && rec.Key == platform.SettledEraKey {
			g.markedEra = era
		}
	}
}

// run waits, lets the process go by the configuration, and then writes the marker whenever
// the store is settled in a new era, until ctx ends.
func (g *restoreGuard) run(ctx context.Context) {
	g.wait(ctx)
	g.config.Release()
	for ctx.Err() == nil {
		g.observeEra()
		if g.era > 0 && g.markedEra != g.era && g.isSettled() && g.isFirst() {
			g.writeMarker(ctx)
		}
		clock.Sleep(ctx, g.rewriteTime)
	}
}

func (g *restoreGuard) writeMarker(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, eraMarkerTimeout)
	defer cancel()
	position, err := g.store.AppendKeyed(ctx, platform.ErasTopic, platform.SettledEraKey, []byte(strconv.FormatInt(g.era, 10)), platform.AppendCondition{})
	if err != nil {
		g.log.Info("Marker of the store's era not written.", "cause", err.Error())
		return
	}
	if position.Era == g.era {
		g.markedEra = g.era
	}
}
