package node

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// recordInterval is the time between two records of the results held. Results
	// live for about a second; what is not recorded stays at the servers for the
	// time that they keep it.
	recordInterval = 200 * time.Millisecond
	recordTimeout  = time.Second
	// giveUpTries bounds the reads of the records at the start.
	giveUpTries = 5
)

// ownerName names a start of an entry.
func ownerName(node string, start int64) string { return node + "#" + strconv.FormatInt(start, 36) }

// heldResults are the results that one server keeps.
type heldResults struct {
	Server  string   `json:"server"`
	Address string   `json:"address"`
	Handles []string `json:"handles"`
}

// leftovers records the results that servers keep for the requests that this entry
// places, by the start of the entry that asked. A new start of an entry gives up
// what was made for its earlier starts: their clients' connections ended with them.
type leftovers struct {
	store   *platform.Store
	planner *planner.Planner
	stages  planner.StageCaller
	log     logr.Logger
	node    string
	owner   string
}

func (l *leftovers) run(ctx context.Context) {
	go l.giveUp(ctx)
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	empty := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		held := l.planner.HeldResults()
		if len(held) == 0 && empty {
			continue
		}
		empty = len(held) == 0
		l.record(ctx, held)
	}
}

// record writes what is held. A failed write is not repeated: the next one follows.
func (l *leftovers) record(ctx context.Context, held map[string][]staging.FreeRequest) {
	value, err := json.Marshal(encodeHeld(held))
	if err != nil {
		l.log.Error(err, "Results not recorded.")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if _, err := l.store.AppendKeyed(ctx, platform.ResultsTopic, l.node, value, platform.AppendCondition{}); err != nil {
		l.log.V(1).Info("Results not recorded.", "cause", err.Error())
	}
}

func encodeHeld(held map[string][]staging.FreeRequest) map[string][]heldResults {
	all := make(map[string][]heldResults, len(held))
	for owner, list := range held {
		for _, f := range list {
			all[owner] = append(all[owner], heldResults{Server: f.Server.ID, Address: f.Server.Address, Handles: f.Handles})
		}
	}
	return all
}

// giveUp gives up the results made for earlier starts of this entry.
func (l *leftovers) giveUp(ctx context.Context) {
	for range giveUpTries {
		records, _, err := l.store.Newest(ctx, platform.ResultsTopic)
		if err != nil {
			clock.Sleep(ctx, registerRetry)
			continue
		}
		for _, rec := range records {
			l.giveUpRecord(ctx, rec)
		}
		return
	}
}

func (l *leftovers) giveUpRecord(ctx context.Context, rec platform.KeyedRecord) {
	var held map[string][]heldResults
	if err := json.Unmarshal(rec.Value, &held); err != nil {
		l.log.Info("Record of results not understood.", "entry", rec.Key, "cause", err.Error())
		return
	}
	for owner, list := range held {
		if owner == l.owner || !strings.HasPrefix(owner, l.node+"#") {
			continue
		}
		for _, h := range list {
			go l.giveUpAt(ctx, h)
		}
	}
}

func (l *leftovers) giveUpAt(ctx context.Context, h heldResults) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := l.stages.Free(ctx, staging.FreeRequest{Server: staging.Server{ID: h.Server, Address: h.Address}, Handles: h.Handles})
	if err != nil {
		l.log.Info("Results of an earlier start not given up.", "server", h.Server, "results", len(h.Handles), "cause", err.Error())
		return
	}
	l.log.Info("Results of an earlier start given up.", "server", h.Server, "results", len(h.Handles))
}
