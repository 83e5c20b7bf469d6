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
	// recordInterval is the time between two records of the held results. Results live
	// for about a second; a result that is not recorded stays at its server until the
	// server expires it.
	recordInterval = 200 * time.Millisecond
	// cleanupTimeout bounds a write to the store and a call that frees results.
	cleanupTimeout = time.Second
	// maxReadAttempts bounds the attempts to read the records when the process starts.
	maxReadAttempts = 5
)

// ownerName returns the name of a process start of an entry.
func ownerName(entryName string, startID int64) string {
	return entryName + "#" + strconv.FormatInt(startID, 36)
}

// heldResults lists results held by one server.
type heldResults struct {
	Server  string   `json:"server"`
	Address string   `json:"address"`
	Handles []string `json:"handles"`
}

// resultCleanup records the results that servers hold for the requests placed by this
// entry, grouped by the process start of the entry that received the request. After a
// restart, the entry frees the results of its earlier process starts: the connections of
// their clients ended with them.
type resultCleanup struct {
	store     *platform.Store
	planner   *planner.Planner
	stages    planner.StageCaller
	log       logr.Logger
	entryName string
	// owner is the name of the current process start.
	owner string
}

// run frees the results of earlier process starts and records the held results until ctx
// ends.
func (c *resultCleanup) run(ctx context.Context) {
	go c.freeEarlierResults(ctx)
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	previousEmpty := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		held := c.planner.HeldResults()
		if len(held) == 0 && previousEmpty {
			continue
		}
		previousEmpty = len(held) == 0
		c.writeHeldResults(ctx, held)
	}
}

// writeHeldResults records the held results. A failed write is not retried, since the
// next one follows soon.
func (c *resultCleanup) writeHeldResults(ctx context.Context, held map[string][]staging.FreeRequest) {
	value, err := json.Marshal(encodeHeldResults(held))
	if err != nil {
		c.log.Error(err, "Held results not recorded.")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	if _, err := c.store.AppendKeyed(ctx, platform.ResultsTopic, c.entryName, value, platform.AppendCondition{}); err != nil {
		c.log.V(1).Info("Held results not recorded.", "cause", err.Error())
	}
}

// encodeHeldResults converts the held results, grouped by owner, to their stored form.
func encodeHeldResults(held map[string][]staging.FreeRequest) map[string][]heldResults {
	encoded := make(map[string][]heldResults, len(held))
	for owner, requests := range held {
		for _, request := range requests {
			encoded[owner] = append(encoded[owner], heldResults{Server: request.Server.ID, Address: request.Server.Address, Handles: request.Handles})
		}
	}
	return encoded
}

// freeEarlierResults frees the recorded results of earlier process starts of this entry.
func (c *resultCleanup) freeEarlierResults(ctx context.Context) {
	for range maxReadAttempts {
		records, _, err := c.store.Newest(ctx, platform.ResultsTopic)
		if err != nil {
			clock.Sleep(ctx, storeRetryInterval)
			continue
		}
		for _, rec := range records {
			c.freeRecordedResults(ctx, rec)
		}
		return
	}
}

// freeRecordedResults frees those results of one record that belong to earlier process
// starts of this entry.
func (c *resultCleanup) freeRecordedResults(ctx context.Context, rec platform.KeyedRecord) {
	held, err := decodeHeldResults(rec)
	if err != nil {
		c.log.Info("Record of held results rejected.", "key", rec.Key, "offset", rec.Offset, "cause", err.Error())
		return
	}
	for owner, results := range held {
		if owner == c.owner || !strings.HasPrefix(owner, c.entryName+"#") {
			continue
		}
		for _, h := range results {
			go c.freeAtServer(ctx, h)
		}
	}
}

// freeAtServer frees results at the server that holds them.
func (c *resultCleanup) freeAtServer(ctx context.Context, results heldResults) {
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	_, err := c.stages.Free(ctx, staging.FreeRequest{Server: staging.Server{ID: results.Server, Address: results.Address}, Handles: results.Handles})
	if err != nil {
		c.log.Info("Results of an earlier start not freed.", "server", results.Server, "results", len(results.Handles), "cause", err.Error())
		return
	}
	c.log.Info("Results of an earlier start freed.", "server", results.Server, "results", len(results.Handles))
}
