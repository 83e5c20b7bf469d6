package node

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/watch"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// patternWriteTimeout bounds a write of a pattern.
const patternWriteTimeout = 2 * time.Second

// quarantineWriter writes the patterns of requests that this entry finds to the store, so
// that they hold at all entries and after restarts.
type quarantineWriter struct {
	store *platform.Store
	log   logr.Logger
	wake  chan struct{}

	mu sync.Mutex
	// pending are the changes that are not written yet, by the keys of their records. A
	// newer change replaces an older one. written are the patterns that were written, and
	// not released since.
	pending, written map[string]quarantine.Change
}

func newQuarantineWriter(store *platform.Store, log logr.Logger) *quarantineWriter {
	return &quarantineWriter{store: store, log: log, wake: make(chan struct{}, 1), pending: map[string]quarantine.Change{}, written: map[string]quarantine.Change{}}
}

// patternKey returns the key of a pattern's record.
func patternKey(p quarantine.Pattern) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(strings.Join(p.Elements, ",")))
}

// add queues changes to be written.
func (w *quarantineWriter) add(changes []quarantine.Change) {
	w.mu.Lock()
	for _, c := range changes {
		w.pending[patternKey(c.Pattern)] = c
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes the changes until ctx ends. A write that fails is repeated, and all patterns
// are written again after the store was restored from a copy.
func (w *quarantineWriter) run(ctx context.Context) {
	_, restored := w.store.Era()
	for ctx.Err() == nil {
		if !w.writePending(ctx) {
			clock.Sleep(ctx, storeRetryInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-w.wake:
		case <-restored:
			_, restored = w.store.Era()
			w.queueWritten()
		}
	}
}

// queueWritten queues the written patterns that have not expired.
func (w *quarantineWriter) queueWritten() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, c := range w.written {
		if c.Until <= clock.Now() {
			delete(w.written, key)
			continue
		}
		if _, ok := w.pending[key]; !ok {
			w.pending[key] = c
		}
	}
}

// writePending writes the queued changes, and reports whether all were written.
func (w *quarantineWriter) writePending(ctx context.Context) bool {
	w.mu.Lock()
	pending := w.pending
	w.pending = map[string]quarantine.Change{}
	w.mu.Unlock()
	done := true
	for key, c := range pending {
		if w.write(ctx, key, c) {
			continue
		}
		done = false
		w.mu.Lock()
		if _, newer := w.pending[key]; !newer {
			w.pending[key] = c
		}
		w.mu.Unlock()
	}
	return done
}

// write writes one change and reports whether it is in the store or no longer needs to be.
func (w *quarantineWriter) write(ctx context.Context, key string, c quarantine.Change) bool {
	if c.Until <= clock.Now() && !c.Released {
		return true
	}
	var value []byte
	if !c.Released {
		var err error
		if value, err = watch.EncodePattern(c.Pattern); err != nil {
			w.log.Error(err, "Pattern not written.", "elements", c.Elements)
			return true
		}
	}
	ctx, cancel := context.WithTimeout(ctx, patternWriteTimeout)
	defer cancel()
	if _, err := w.store.AppendKeyed(ctx, platform.QuarantineTopic, key, value, platform.AppendCondition{}); err != nil {
		w.log.Info("Pattern not written.", "elements", c.Elements, "cause", err.Error())
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Released {
		delete(w.written, key)
	} else {
		w.written[key] = c
	}
	return true
}
