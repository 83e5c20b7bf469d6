package node

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
	"github.com/magnoliawheel/magnoliawheel/core/jitter"
	"github.com/magnoliawheel/magnoliawheel/core/roster"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/peer"
	"github.com/magnoliawheel/magnoliawheel/internal/watch"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// storeRetryInterval is the time before a failed read or write of the store is
	// repeated.
	storeRetryInterval = 300 * time.Millisecond
	// registryReadInterval is the time between two reads of the records of all entries.
	// An entry only needs to know those that registered before it, which it learns when
	// it starts; the later reads remove those that stopped.
	registryReadInterval = 15 * time.Second
	// markStoppedTimeout bounds the write of the record that marks the entry as stopped.
	markStoppedTimeout = 500 * time.Millisecond
	// maxRegistryReadGap is the longest time between two reads that the store answers:
	// the interval, one lost response, and the retries that follow.
	maxRegistryReadGap = registryReadInterval + 3*time.Second
	// smallEntryCores is the number of processor cores below which an entry is small:
	// placing the requests of many entries takes about a tenth of a core.
	smallEntryCores = 0.25
)

// eraReadSpread is the time over which the entries read the records again after the store
// was restored.
const eraReadSpread = 2 * time.Second

// staleReadBackoff is the backoff between reads while other entries are restarting.
var staleReadBackoff = backoff.Policy{Initial: 500 * time.Millisecond, Max: 4 * time.Second}

// registry maintains the record of this entry in the store and determines the entries
// that registered before it. Entries are ordered by the offsets of their records, so
// that all entries derive the same order, and a restarted entry comes last.
type registry struct {
	store      *platform.Store
	links      *peer.Links
	localEntry *peer.LocalEntry
	log        logr.Logger
	name       string
	address    string
	// startID distinguishes process starts of this entry.
	startID int64
	isSmall bool
	// readInterval is the time between two reads of the records.
	readInterval time.Duration
	// onRestart is called if the record of an earlier process start exists. onEntries is
	// called with the number of records once they include that of this start, and with the
	// number of running entries before this one.
	onRestart func()
	onEntries func(count, before int)
	// stopped is set when the entry shuts down.
	stopped atomic.Bool
	// rejected are the records that are no entries.
	rejected *watch.Rejections
	// era is the era of the store before the last read of the records; eraChanged is
	// closed once the store has a newer one.
	era        int64
	eraChanged <-chan struct{}
}

// run reads the records, and writes that of this entry, until ctx ends or the entry
// stops.
func (r *registry) run(ctx context.Context) {
	entryRoster := roster.New(r.name, r.startID)
	staleReads := 0
	for ctx.Err() == nil && !r.stopped.Load() {
		r.era, r.eraChanged = r.store.Era()
		records, ok := r.readRecords(ctx)
		if !ok {
			clock.Sleep(ctx, storeRetryInterval)
			continue
		}
		view := entryRoster.Update(clock.Now(), records)
		if r.stopped.Load() {
			return
		}
		if !view.Registered {
			r.register(ctx, view)
			continue
		}
		r.applyView(ctx, view)
		staleReads = r.waitForNextRead(ctx, staleReads)
	}
}

// waitForNextRead waits until the next read of the records: for the read interval, or
// for a shorter time if an entry turns out to have restarted. staleReads is the number
// of consecutive reads made for the latter reason; the result is its new value.
func (r *registry) waitForNextRead(ctx context.Context, staleReads int) int {
	timer := time.NewTimer(r.readInterval)
	defer timer.Stop()
	clock.Sleep(ctx, staleReadBackoff.Delay(staleReads))
	if ctx.Err() != nil {
		return 0
	}
	select {
	case <-r.links.StalePosition():
		return staleReads + 1
	case <-r.eraChanged:
		r.log.Info("Store was restored; the entry record is checked.", "era_before", r.era)
		clock.Sleep(ctx, time.Duration(jitter.Fraction(r.name)*float64(eraReadSpread)))
	case <-timer.C:
	case <-ctx.Done():
	}
	return 0
}

// register writes the record of this process start. The next read shows whether it was
// stored.
func (r *registry) register(ctx context.Context, view roster.View) {
	if view.EarlierStart {
		r.onRestart()
	}
	rec := roster.Record{Name: r.name, Address: r.address, StartID: r.startID, Small: r.isSmall}
	rec.Era, _ = r.store.Era()
	if view.Lost != nil {
		r.log.Info("Lost entry record is written again.", "era", view.Lost.Era, "first", view.Lost.FirstRecordNumber)
		rec = *view.Lost
	}
	position, ok := r.writeOwnRecord(ctx, rec)
	if !ok {
		clock.Sleep(ctx, storeRetryInterval)
		return
	}
	if view.Lost == nil && position.Era != rec.Era {
		// The store was restored meanwhile: the offset of the record is one of the new era.
		rec.Era = position.Era
		r.writeOwnRecord(ctx, rec)
	}
}

// readRecords returns the newest record of each entry, and false if the read failed.
func (r *registry) readRecords(ctx context.Context) ([]roster.Record, bool) {
	keyedRecords, _, err := r.store.Newest(ctx, platform.EntriesTopic)
	if err != nil {
		return nil, false
	}
	records := make([]roster.Record, 0, len(keyedRecords))
	for _, keyedRecord := range keyedRecords {
		rec, err := decodeEntryRecord(keyedRecord)
		if err != nil {
			r.rejected.Add(keyedRecord, err)
			continue
		}
		records = append(records, rec)
	}
	return records, true
}

// applyView applies the view derived from a read of the records.
func (r *registry) applyView(ctx context.Context, view roster.View) {
	r.log.Info("Entry records read.", "before", len(view.Predecessors), "order", view.Position, "records", view.Count)
	r.localEntry.Register(view.Position)
	r.onEntries(view.Count, len(view.Predecessors))
	r.links.SetPredecessors(view.Predecessors)
	if view.Refresh != nil {
		r.writeOwnRecord(ctx, *view.Refresh)
	}
	for _, name := range view.Drop {
		if _, ok := r.appendRecord(ctx, name, nil); ok {
			r.log.Info("Expired entry record deleted.", "entry", name)
		}
	}
}

// writeOwnRecord writes the record of this entry and returns its position. It returns
// false if the record may not have been stored.
func (r *registry) writeOwnRecord(ctx context.Context, rec roster.Record) (platform.Position, bool) {
	value, err := json.Marshal(rec)
	if err != nil {
		r.log.Error(err, "Entry record not written.")
		return platform.Position{}, false
	}
	return r.appendRecord(ctx, r.name, value)
}

// appendRecord writes the record of an entry; a nil value deletes it.
func (r *registry) appendRecord(ctx context.Context, name string, value []byte) (platform.Position, bool) {
	position, err := r.store.AppendKeyed(ctx, platform.EntriesTopic, name, value, platform.AppendCondition{})
	if err != nil {
		r.log.Info("Entry record not written.", "entry", name, "cause", err.Error())
	}
	return position, err == nil
}

// markStopped writes a record that marks the entry as stopped, so that others no longer
// have it place their requests.
func (r *registry) markStopped() {
	r.stopped.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), markStoppedTimeout)
	defer cancel()
	r.writeOwnRecord(ctx, roster.Record{Name: r.name, Address: r.address, StartID: r.startID, Stopped: true})
}
