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

// Limits for the use of a claim stream.
const (
	// maxAppendRecords limits the records in one append.
	maxAppendRecords = 128
	// appendTimeout limits the duration of one append.
	appendTimeout = time.Second
	// maxReadRecords limits the records in one read.
	maxReadRecords = 1000
	// maxPendingAppends limits the records that are queued for an append.
	maxPendingAppends = 4096
)

// partition is a claim stream: the state folded from its records, and the
// records queued to be appended.
type partition struct {
	log    platform.Log
	stream string
	ctx    context.Context

	// foldLock is a mutex that is held while the stream is read and folded. Its
	// acquisition can time out.
	foldLock chan struct{}
	state    *claims.Partition

	mu       sync.Mutex
	pending  []*pendingAppend
	flushing bool
}

// pendingAppend is a record that is queued or being appended. offset and err
// are set when done is closed.
type pendingAppend struct {
	data   []byte
	done   chan struct{}
	offset uint64
	err    error
}

func newPartition(ctx context.Context, log platform.Log, number int) *partition {
	return &partition{
		log: log, ctx: ctx, stream: platform.ClaimStreamPrefix + strconv.Itoa(number),
		foldLock: make(chan struct{}, 1), state: claims.New(),
	}
}

// append appends a record, in a batch with other queued records, and returns
// its offset. If ctx ends first, the outcome is unknown.
func (p *partition) append(ctx context.Context, data []byte) (uint64, error) {
	a := &pendingAppend{data: data, done: make(chan struct{})}
	if !p.enqueue(a) {
		return 0, errors.Wrap(platform.ErrUnavailable, "too many appends are pending")
	}
	select {
	case <-a.done:
		return a.offset, a.err
	case <-ctx.Done():
		return 0, platform.ErrOutcomeUnknown
	}
}

// enqueue queues a record and starts flush unless it is running. It returns
// false if too many records are queued.
func (p *partition) enqueue(a *pendingAppend) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) >= maxPendingAppends {
		return false
	}
	p.pending = append(p.pending, a)
	if !p.flushing {
		p.flushing = true
		go p.flush()
	}
	return true
}

// flush appends the queued records in batches until none is left.
func (p *partition) flush() {
	for {
		batch := p.takeBatch()
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
			p.foldAppended(first, records)
		}
		for i, a := range batch {
			a.offset, a.err = first+uint64(i), err
			close(a.done)
		}
	}
}

// foldAppended folds records that were just appended at an offset, if they are
// the next in the stream and nobody is reading it. Otherwise a later read folds
// them, together with the records before them.
func (p *partition) foldAppended(first uint64, records [][]byte) {
	select {
	case p.foldLock <- struct{}{}:
	default:
		return
	}
	defer func() { <-p.foldLock }()
	if p.state.Next() != first {
		return
	}
	for i, data := range records {
		p.state.Apply(first+uint64(i), data)
	}
}

// takeBatch removes the records of the next append from the queue and returns
// them.
func (p *partition) takeBatch() []*pendingAppend {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(len(p.pending), maxAppendRecords)
	batch := p.pending[:n:n]
	p.pending = p.pending[n:]
	p.flushing = n > 0
	return batch
}

// readJudgement reads the stream up to an offset and returns the judgement of a
// claim. For a lost claim the record is that of the claim that holds the key.
func (p *partition) readJudgement(ctx context.Context, offset uint64, id claims.ID) (claims.Status, claims.Record, error) {
	select {
	case p.foldLock <- struct{}{}:
	case <-ctx.Done():
		return claims.Pending, claims.Record{}, ctx.Err()
	}
	defer func() { <-p.foldLock }()
	if err := p.foldThrough(ctx, offset); err != nil {
		return claims.Pending, claims.Record{}, err
	}
	j, r := p.state.Status(id)
	return j, r, nil
}

// foldThrough folds the records up to and including an offset. The caller holds
// foldLock.
func (p *partition) foldThrough(ctx context.Context, offset uint64) error {
	for p.state.Next() <= offset {
		next := p.state.Next()
		b, err := p.log.Read(ctx, p.stream, next, maxReadRecords, 0)
		if errors.Is(err, platform.ErrTruncated) && b.FirstOffset > next {
			p.state.Skip(b.FirstOffset)
			continue
		}
		if err != nil {
			return err
		}
		for _, r := range b.Records {
			p.state.Apply(r.Offset, r.Data)
		}
		if p.state.Next() == next {
			return errors.Wrapf(platform.ErrUnavailable, "offset %d is not readable yet", next)
		}
	}
	return nil
}

// catchUp folds all records in the stream, and drops the claims of keys minted
// before expireBefore.
func (p *partition) catchUp(ctx context.Context, expireBefore time.Time) error {
	select {
	case p.foldLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-p.foldLock }()
	p.state.Expire(expireBefore)
	b, err := p.log.Read(ctx, p.stream, p.state.Next(), 1, 0)
	if err != nil && !errors.Is(err, platform.ErrTruncated) {
		return err
	}
	if b.NextOffset == 0 {
		return nil
	}
	return p.foldThrough(ctx, b.NextOffset-1)
}

// expire drops the claims of keys minted before expireBefore, unless the stream
// is being read.
func (p *partition) expire(expireBefore time.Time) {
	select {
	case p.foldLock <- struct{}{}:
		p.state.Expire(expireBefore)
		<-p.foldLock
	default:
	}
}
