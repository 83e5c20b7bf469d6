package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/streamversion"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// streamRecorder keeps in the store which version began each stream, while streams of several
// versions may be resumed: if all entries are lost, nobody else knows. An entry reads the
// records when it starts and when it begins to place requests, and writes those of the streams
// that it places.
type streamRecorder struct {
	store   *platform.Store
	planner *planner.Planner
	log     logr.Logger
	// places reports whether this entry places requests, versionsKnown whether the versions of
	// the pools have been read.
	places, versionsKnown func() bool
	// started is set once the records have been read after the start, or there was but one version
	// then. hasRead is set while no other entry can have written records since they were read.
	started, hasRead bool
	// placed is whether this entry placed requests at the last check. next is the sequence number
	// of the next batch.
	placed bool
	next   int64
}

// streamBatch is the value of a record; its key is the slot of the batch.
type streamBatch struct {
	Sequence int64            `json:"sequence"`
	Era      int64            `json:"era"`
	Streams  []streamOfRecord `json:"streams"`
}

// streamOfRecord says which version began a stream. RemainingMS is for how many milliseconds the
// client could still resume it when the batch was written.
type streamOfRecord struct {
	Stream      string `json:"stream"`
	Version     string `json:"version"`
	RemainingMS int64  `json:"remaining_ms"`
}

// run reads and writes the records until ctx ends.
func (r *streamRecorder) run(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		err := r.sync(ctx)
		if err == nil {
			failures = 0
			clock.Sleep(ctx, streamversion.BatchInterval)
			continue
		}
		r.log.Info("Versions of single streams not synchronized with the store.", "failures", failures, "cause", err.Error())
		clock.Sleep(ctx, versionBackoff.Delay(failures))
		failures++
	}
}

// sync does what is due.
func (r *streamRecorder) sync(ctx context.Context) error {
	places := r.places()
	if places && !r.placed {
		// The entry that placed requests before may have written batches since.
		r.hasRead = false
	}
	r.placed = places
	if !r.versionsKnown() {
		return nil
	}
	if !r.planner.HasSeveralVersions() {
		r.started = true
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, versionCallTimeout)
	defer cancel()
	// An entry that has been running and does not place requests needs no records.
	if !r.hasRead && (places || !r.started) {
		if err := r.read(ctx); err != nil {
			return err
		}
	}
	r.started = true
	if !places {
		return nil
	}
	return r.write(ctx)
}

// read passes the records on to the planner.
func (r *streamRecorder) read(ctx context.Context) error {
	keyed, end, err := r.store.Newest(ctx, platform.StreamsTopic)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	var batches []streamversion.Batch
	for _, rec := range keyed {
		batch, err := decodeStreamBatch(rec.Value)
		if err != nil {
			r.log.Info("Record of streams ignored.", "slot", rec.Key, "offset", rec.Offset, "cause", err.Error())
			continue
		}
		batches = append(batches, batch)
	}
	records, next := streamversion.Merge(batches, end.Era)
	for _, s := range records {
		r.planner.LearnStream(s)
	}
	r.next, r.hasRead = max(r.next, next), true
	r.log.Info("Versions of single streams read.", "batches", len(batches), "streams", len(records), "next", r.next, "era", end.Era)
	return nil
}

// write writes the streams that are not stored yet.
func (r *streamRecorder) write(ctx context.Context) error {
	for {
		records := r.planner.TakeUnstoredStreams()
		if len(records) == 0 {
			return nil
		}
		era, _ := r.store.Era()
		batch := streamversion.Batch{Sequence: r.next, Era: era, Records: records}
		value, err := encodeStreamBatch(&batch)
		if err != nil {
			return errors.Wrap(err, "encode")
		}
		if _, err := r.store.AppendKeyed(ctx, platform.StreamsTopic, batch.Slot(), value, platform.AppendCondition{}); err != nil {
			r.planner.ReturnUnstoredStreams(records)
			return errors.Wrapf(err, "write %d streams", len(records))
		}
		r.next++
		r.log.V(1).Info("Versions of single streams stored.", "streams", len(records), "sequence", batch.Sequence)
	}
}

func encodeStreamBatch(b *streamversion.Batch) ([]byte, error) {
	now := clock.Now()
	stored := streamBatch{Sequence: b.Sequence, Era: b.Era}
	for _, s := range b.Records {
		stored.Streams = append(stored.Streams, streamOfRecord{Stream: s.Stream, Version: s.Version, RemainingMS: (s.Until - now).Milliseconds()})
	}
	return json.Marshal(stored)
}

// decodeStreamBatch decodes a batch. How long ago it was written is not known, so its streams
// count as resumable for as long from now as they were then.
func decodeStreamBatch(value []byte) (streamversion.Batch, error) {
	var stored streamBatch
	if err := json.Unmarshal(value, &stored); err != nil {
		return streamversion.Batch{}, errors.Wrap(err, "decode batch of streams")
	}
	now := clock.Now()
	batch := streamversion.Batch{Sequence: stored.Sequence, Era: stored.Era}
	for _, s := range stored.Streams {
		until := now + time.Duration(s.RemainingMS)*time.Millisecond
		batch.Records = append(batch.Records, streamversion.Record{Stream: s.Stream, Version: s.Version, Until: until})
	}
	return batch, nil
}
