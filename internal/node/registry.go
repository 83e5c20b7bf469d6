package node

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
	"github.com/magnoliawheel/magnoliawheel/core/roster"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/peer"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// registerRetry is the time between two tries to register.
	registerRetry = 300 * time.Millisecond
	// registryPause is the time between two looks at the other entries. An entry
	// needs to know only those registered before it, which it learns at its start;
	// the later looks remove those that left.
	registryPause = 15 * time.Second
	leaveTimeout  = 500 * time.Millisecond
	// lookInterval is the longest time between two looks that the store answers: the
	// pause, an answer that is lost, and the tries that follow.
	lookInterval = registryPause + 3*time.Second
	// smallCores is the number of processor cores under which an entry is small:
	// placing the requests of many entries takes about a tenth of a core.
	smallCores = 0.25
)

// staleLooks are the times between looks while entries start anew.
var staleLooks = backoff.Policy{Initial: 500 * time.Millisecond, Max: 4 * time.Second}

// registry keeps the entry's record and learns the entries registered before it.
// The order is that of the records' offsets: it is the same for all entries, and a
// restarted entry comes last.
type registry struct {
	store   *platform.Store
	links   *peer.Links
	self    *peer.Self
	log     logr.Logger
	name    string
	address string
	// start tells two starts of this entry apart.
	start int64
	small bool
	// pause is the time between two looks.
	pause time.Duration
	// restarted is called if an earlier start left its record, entries with the number
	// of records once the own one is among them.
	restarted func()
	entries   func(n int)
	// left is set once the entry stops.
	left atomic.Bool
}

func (r *registry) run(ctx context.Context) {
	known := roster.New(r.name, r.start)
	again := 0
	for ctx.Err() == nil && !r.left.Load() {
		records, ok := r.read(ctx)
		if !ok {
			clock.Sleep(ctx, registerRetry)
			continue
		}
		v := known.Update(clock.Now(), records)
		if r.left.Load() {
			return
		}
		if !v.Registered {
			r.register(ctx, v)
			continue
		}
		r.take(ctx, v)
		again = r.rest(ctx, again)
	}
}

// rest waits until the next look: for the pause, or for a shorter time if an entry
// turns out to have started anew. again is the number of looks for that in a row.
func (r *registry) rest(ctx context.Context, again int) int {
	longest := time.NewTimer(r.pause)
	defer longest.Stop()
	clock.Sleep(ctx, staleLooks.Delay(again))
	if ctx.Err() != nil {
		return 0
	}
	select {
	case <-r.links.Stale():
		return again + 1
	case <-longest.C:
	case <-ctx.Done():
	}
	return 0
}

// register writes the record of this start. The next look tells whether it is there.
func (r *registry) register(ctx context.Context, v roster.View) {
	if v.EarlierStart {
		r.restarted()
	}
	if !r.write(ctx, roster.Record{Name: r.name, Address: r.address, StartID: r.start, Small: r.small}) {
		clock.Sleep(ctx, registerRetry)
	}
}

// read returns the newest record of each entry; false if the store did not answer.
func (r *registry) read(ctx context.Context) ([]roster.Record, bool) {
	items, _, err := r.store.Newest(ctx, platform.EntriesTopic)
	if err != nil {
		return nil, false
	}
	records := make([]roster.Record, 0, len(items))
	for _, it := range items {
		rec := roster.Record{}
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			r.log.Info("Entry's record not understood.", "entry", it.Key, "cause", err.Error())
			continue
		}
		rec.Name = it.Key
		rec.Offset = it.Offset
		records = append(records, rec)
	}
	return records, true
}

// take acts on a look at the records.
func (r *registry) take(ctx context.Context, v roster.View) {
	r.log.Info("Entries known.", "before", len(v.Predecessors), "order", v.Position, "records", v.Count)
	r.self.Register(v.Position)
	r.entries(v.Count)
	r.links.SetEntries(v.Predecessors)
	if v.Refresh != nil {
		r.write(ctx, *v.Refresh)
	}
	for _, name := range v.Drop {
		r.log.Info("Record of a lost entry dropped.", "entry", name)
		r.append(ctx, name, nil)
	}
}

// write writes the own record; false if it may not be there.
func (r *registry) write(ctx context.Context, rec roster.Record) bool {
	value, err := json.Marshal(rec)
	if err != nil {
		r.log.Error(err, "Entry's record not written.")
		return false
	}
	return r.append(ctx, r.name, value)
}

// append writes the record of an entry; no value drops it.
func (r *registry) append(ctx context.Context, name string, value []byte) bool {
	_, err := r.store.AppendKeyed(ctx, platform.EntriesTopic, name, value, platform.AppendCondition{})
	if err != nil {
		r.log.Info("Entry's record not written.", "entry", name, "cause", err.Error())
	}
	return err == nil
}

// leave marks the entry's record: it takes no requests of others any more.
func (r *registry) leave() {
	r.left.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	r.write(ctx, roster.Record{Name: r.name, Address: r.address, StartID: r.start, Stopped: true})
}
