package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-logr/logr"

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
	// smallCores is the number of processor cores under which an entry is small:
	// placing the requests of many entries takes about a tenth of a core.
	smallCores = 0.25
	// smallOrder puts small entries behind all others; offsets stay below it.
	smallOrder = 1 << 40
)

// registration is the record of an entry in the store.
type registration struct {
	Address string `json:"address"`
	// Start tells two starts of one entry apart.
	Start int64 `json:"start"`
	// Small entries place requests only if all others are lost.
	Small bool `json:"small,omitempty"`
}

// order is the entry's place in the order of all entries.
func (r registration) order(offset int64) int64 {
	if r.Small {
		return offset + smallOrder
	}
	return offset
}

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
}

func (r *registry) run(ctx context.Context) {
	value, err := json.Marshal(registration{Address: r.address, Start: r.start, Small: r.small})
	if err != nil {
		r.log.Error(err, "Entry not registered.")
		return
	}
	for ctx.Err() == nil {
		if _, err := r.store.AppendKeyed(ctx, platform.EntriesTopic, r.name, value, platform.Condition{}); err == nil {
			break
		}
		clock.Sleep(ctx, registerRetry)
	}
	for ctx.Err() == nil {
		wait := registryPause
		if !r.look(ctx) {
			wait = registerRetry
		}
		clock.Sleep(ctx, wait)
	}
}

// look reads the records; false if the store did not answer.
func (r *registry) look(ctx context.Context) bool {
	records, _, err := r.store.Newest(ctx, platform.EntriesTopic)
	if err != nil {
		return false
	}
	var own int64 = -1
	entries := make([]peer.Entry, 0, len(records))
	for _, rec := range records {
		var reg registration
		if err := json.Unmarshal(rec.Value, &reg); err != nil {
			r.log.Info("Entry's record not understood.", "entry", rec.Key, "cause", err.Error())
			continue
		}
		if rec.Key == r.name {
			if reg.Start == r.start {
				own = reg.order(rec.Offset)
			}
			continue
		}
		entries = append(entries, peer.Entry{Name: rec.Key, Address: reg.Address, Order: reg.order(rec.Offset)})
	}
	if own < 0 {
		// A late write of an earlier start of this entry; the own one follows.
		return false
	}
	before := entries[:0]
	for _, e := range entries {
		if e.Order < own {
			before = append(before, e)
		}
	}
	r.log.Info("Entries known.", "before", len(before), "order", own)
	r.self.Register(own)
	r.links.SetEntries(before)
	return true
}

// leave drops the entry's record.
func (r *registry) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if _, err := r.store.AppendKeyed(ctx, platform.EntriesTopic, r.name, nil, platform.Condition{}); err != nil {
		r.log.Info("Entry's record not dropped.", "cause", err.Error())
	}
}
