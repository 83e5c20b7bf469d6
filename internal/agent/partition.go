package agent

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/claims"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
)

// Bounds of the use of a claim stream.
const (
	// appendBatch bounds the records of one append.
	appendBatch = 128
	// appendTimeout bounds one append.
	appendTimeout = time.Second
	// readBatch bounds the records of one read.
	readBatch = 1000
	// maxWaitingAppends bounds the records that wait for an append.
	maxWaitingAppends = 4096
)

// partition is one claim stream: its fold, and the records to append to it.
type partition struct {
	log    platform.Log
	stream string
	ctx    context.Context

	// reading is held by the one that reads the stream and folds.
	reading chan struct{}
	fold    *claims.Partition

	mu       sync.Mutex
	waiting  []*pendingAppend
	flushing bool
}

type pendingAppend struct {
	data   []byte
	done   chan struct{}
	offset uint64
	err    error
}

func newPartition(ctx context.Context, log platform.Log, number int) *partition {
	return &partition{
		log: log, ctx: ctx, stream: platform.ClaimStreamPrefix + strconv.Itoa(number),
		reading: make(chan struct{}, 1), fold: claims.New(),
	}
}

// append adds a record, together with others that wait, and returns its offset.
// When ctx ends first the outcome is unknown.
func (p *partition) append(ctx context.Context, data []byte) (uint64, error) {
	a := &pendingAppend{data: data, done: make(chan struct{})}
	if !p.enqueue(a) {
		return 0, errors.Wrap(platform.ErrUnavailable, "too many appends wait")
	}
	select {
	case <-a.done:
		return a.offset, a.err
	case <-ctx.Done():
		return 0, platform.ErrOutcomeUnknown
	}
}

func (p *partition) enqueue(a *pendingAppend) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) >= maxWaitingAppends {
		return false
	}
	p.waiting = append(p.waiting, a)
	if !p.flushing {
		p.flushing = true
		go p.flush()
	}
	return true
}

// flush appends what waits until nothing does.
func (p *partition) flush() {
	for {
		batch := p.take()
		if len(batch) == 0 {
			return
		}
		records := make([][]byte, len(batch))
		for i, a := range batch {
			records[i] = a.data
		}
		ctx, cancel := context.WithTimeout(p.ctx, appendTimeout)
		first, err := p.log.Append(ctx, p.stream, records...)
		cancel()
		if err == nil {
			p.foldOwn(first, records)
		}
		for i, a := range batch {
			a.offset, a.err = first+uint64(i), err
			close(a.done)
		}
	}
}

// foldOwn folds records that were appended at an offset, if they are the next of
// the stream and nobody reads it now; else they are read with those before them.
func (p *partition) foldOwn(first uint64, records [][]byte) {
	select {
	case p.reading <- struct{}{}:
	default:
		return
	}
	defer func() { <-p.reading }()
	if p.fold.Next() != first {
		return
	}
	for i, data := range records {
		p.fold.Apply(first+uint64(i), data)
	}
}

// take removes and returns the records of the next append.
func (p *partition) take() []*pendingAppend {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(len(p.waiting), appendBatch)
	batch := p.waiting[:n:n]
	p.waiting = p.waiting[n:]
	p.flushing = n > 0
	return batch
}

// judge reads the stream up to an offset and returns what was decided of a claim.
func (p *partition) judge(ctx context.Context, offset uint64, id claims.ID) (claims.Status, claims.Record, error) {
	select {
	case p.reading <- struct{}{}:
	case <-ctx.Done():
		return claims.Pending, claims.Record{}, ctx.Err()
	}
	defer func() { <-p.reading }()
	if err := p.readTo(ctx, offset); err != nil {
		return claims.Pending, claims.Record{}, err
	}
	j, r := p.fold.Status(id)
	return j, r, nil
}

// readTo folds the records up to an offset. The caller holds reading.
func (p *partition) readTo(ctx context.Context, offset uint64) error {
	for p.fold.Next() <= offset {
		next := p.fold.Next()
		b, err := p.log.Read(ctx, p.stream, next, readBatch, 0)
		if errors.Is(err, platform.ErrTruncated) && b.FirstOffset > next {
			p.fold.Skip(b.FirstOffset)
			continue
		}
		if err != nil {
			return err
		}
		for _, r := range b.Records {
			p.fold.Apply(r.Offset, r.Data)
		}
		if p.fold.Next() == next {
			return errors.Wrapf(platform.ErrUnavailable, "offset %d is not readable yet", next)
		}
	}
	return nil
}

// catchUp folds what is in the stream, and forgets the claims of old keys.
func (p *partition) catchUp(ctx context.Context, forget time.Time) error {
	select {
	case p.reading <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-p.reading }()
	p.fold.Expire(forget)
	b, err := p.log.Read(ctx, p.stream, p.fold.Next(), 1, 0)
	if err != nil && !errors.Is(err, platform.ErrTruncated) {
		return err
	}
	if b.NextOffset == 0 {
		return nil
	}
	return p.readTo(ctx, b.NextOffset-1)
}

// expire forgets the claims of old keys, unless the stream is being read.
func (p *partition) expire(forget time.Time) {
	select {
	case p.reading <- struct{}{}:
		p.fold.Expire(forget)
		<-p.reading
	default:
	}
}
