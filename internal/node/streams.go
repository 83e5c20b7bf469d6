package node

import (
	"context"
	"encoding/json"

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
	// then. hasRead is set while the records up to end have been read.
	started, hasRead bool
	end              platform.Position
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
	syncRepeatedly(ctx, r.log, r.sync, func() {}, func() { clock.Sleep(ctx, streamversion.BatchInterval) })
}

// sync does what is due.
func (r *streamRecorder) sync(ctx context.Context) error {
	places := r.places()
	if places && !r.placed {
		// The entry that placed requests before may have written batches since.
		r.hasRead = false
	}
	if era, _ := r.store.Era(); era != r.end.Era {
		// A restored store has other records at the same offsets.
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

// read passes all records on to the planner.
func (r *streamRecorder) read(ctx context.Context) error {
	keyed, end, err := r.store.Newest(ctx, platform.StreamsTopic)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	r.hasRead = true
	batches, streams := r.learn(keyed, end)
	r.log.Info("Versions of single streams read.", "batches", batches, "streams", streams, "next", r.next, "era", end.Era)
	return nil
}

// catchUp passes the records on to the planner that were written since the last ones were read.
func (r *streamRecorder) catchUp(ctx context.Context) error {
	keyed, end, err := r.store.ReadKeyed(ctx, platform.StreamsTopic, r.end, 0)
	if err != nil {
		r.hasRead = false
		return errors.Wrap(err, "read what another entry wrote")
	}
	batches, streams := r.learn(keyed, end)
	r.log.V(1).Info("Versions of single streams of another entry read.", "batches", batches, "streams", streams, "next", r.next)
	return nil
}

// learn passes records on to the planner that end at the given position. It returns the numbers
// of batches and of streams.
func (r *streamRecorder) learn(keyed []platform.KeyedRecord, end platform.Position) (batches, streams int) {
	var decoded []streamversion.Batch
	for _, rec := range keyed {
		batch, err := decodeStreamBatch(rec)
		if err != nil {
			r.log.Info("Record of streams rejected.", "key", rec.Key, "offset", rec.Offset, "cause", err.Error())
			continue
		}
		decoded = append(decoded, batch)
	}
	records, next := streamversion.Merge(decoded, end.Era)
	for _, s := range records {
		r.planner.LearnStream(s)
	}
	r.end, r.next = end, max(r.next, next)
	return len(decoded), len(records)
}

// write writes the streams that are not stored yet. If another entry has written meanwhile, its
// records are read first, so that none of them is replaced.
func (r *streamRecorder) write(ctx context.Context) error {
	for {
		records := r.planner.TakeUnstoredStreams()
		if len(records) == 0 {
			return nil
		}
		err := r.append(ctx, streamversion.Batch{Sequence: r.next, Era: r.end.Era, Records: records})
		if err == nil {
			continue
		}
		r.planner.ReturnUnstoredStreams(records)
		if !errors.Is(err, platform.ErrEndMoved) {
			return err
		}
		if err := r.catchUp(ctx); err != nil {
			return err
		}
	}
}

// append writes a batch at the end of the records that have been read.
func (r *streamRecorder) append(ctx context.Context, batch streamversion.Batch) error {
	value, err := encodeStreamBatch(&batch)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	position, err := r.store.AppendKeyed(ctx, platform.StreamsTopic, batch.Slot(), value, platform.AppendCondition{ExpectedEnd: &r.end})
	if err != nil {
		return errors.Wrapf(err, "write %d streams", len(batch.Records))
	}
	r.end.Offset = position.Offset + 1
	r.next = batch.Sequence + 1
	r.log.V(1).Info("Versions of single streams stored.", "streams", len(batch.Records), "sequence", batch.Sequence)
	return nil
}

func encodeStreamBatch(b *streamversion.Batch) ([]byte, error) {
	now := clock.Now()
	stored := streamBatch{Sequence: b.Sequence, Era: b.Era}
	for _, s := range b.Records {
		stored.Streams = append(stored.Streams, streamOfRecord{Stream: s.Stream, Version: s.Version, RemainingMS: (s.Until - now).Milliseconds()})
	}
	return json.Marshal(stored)
}
