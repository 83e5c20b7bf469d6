package watch

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// quarantineReadWait is how long a read waits for a pattern that another entry found.
	// Two entries place requests at the same time only for moments.
	quarantineReadWait = 10 * time.Second
	// placingPollInterval is the time between two checks whether the entry places requests,
	// and the least time between two reads.
	placingPollInterval = 100 * time.Millisecond
	// maxPatternElements, maxPatternCrashes and maxPatternTime bound what a record says of a
	// pattern. They are beyond what entries write.
	maxPatternElements = 1000
	maxPatternCrashes  = 1_000_000
	maxPatternTime     = 366 * 24 * time.Hour
)

// quarantineBackoff gives the times between consecutive failed reads.
var quarantineBackoff = backoff.Policy{Initial: time.Second, Max: 8 * time.Second}

// PatternTable receives the patterns that other entries found.
type PatternTable interface {
	LearnPattern(quarantine.Pattern) bool
	ForgetPattern(elements []string) bool
}

// Quarantine reads the patterns of requests that crash servers. An entry that places
// its own requests follows them; the others read them once, when they start, and are told
// what follows.
type Quarantine struct {
	store Store
	log   logr.Logger
	table PatternTable
	// position is where the next read begins; it is valid if known is set.
	position platform.Position
	known    bool
	// tried is set once the first read has ended; onTried is called then.
	tried   atomic.Bool
	onTried func()
	// elements maps the keys of records to the elements of their patterns.
	elements map[string][]string
	// rejected are the records that name no pattern.
	rejected *Rejections
}

// NewQuarantine returns a reader of the patterns, which it passes on to table.
//
// onTried is called when the first read has ended.
func NewQuarantine(store Store, log logr.Logger, table PatternTable, onTried func()) *Quarantine {
	return &Quarantine{
		store: store, log: log, table: table, onTried: onTried, elements: map[string][]string{},
		rejected: NewRejections(log, "Pattern record rejected."),
	}
}

// Tried reports whether the first read has ended. If it failed, requests are placed all the
// same: the patterns may be in a part of the store that is away.
func (q *Quarantine) Tried() bool { return q.tried.Load() }

// Run reads the patterns at once, and follows them while places reports that the entry
// places requests, until ctx ends.
func (q *Quarantine) Run(ctx context.Context, places func() bool) {
	starting := true
	for failures := 0; ctx.Err() == nil; clock.Sleep(ctx, placingPollInterval) {
		if !starting && !places() {
			q.known = false
			continue
		}
		err := q.read(ctx)
		if q.tried.CompareAndSwap(false, true) {
			q.onTried()
		}
		if err != nil {
			q.log.Info("Patterns not read.", "cause", err.Error())
			clock.Sleep(ctx, quarantineBackoff.Delay(failures))
			failures++
			continue
		}
		starting, failures = false, 0
	}
}

// read performs one read and applies its records. A pattern that a restored store has lost
// stays in force until it expires.
func (q *Quarantine) read(ctx context.Context) error {
	var records []platform.KeyedRecord
	var err error
	wasKnown := q.known
	if wasKnown {
		records, q.position, err = q.store.ReadKeyed(ctx, platform.QuarantineTopic, q.position, quarantineReadWait)
	} else {
		records, q.position, err = q.store.Newest(ctx, platform.QuarantineTopic)
	}
	q.known = err == nil
	if wasKnown && errors.IsAny(err, platform.ErrRestored, platform.ErrExpired) {
		return nil
	}
	for _, rec := range records {
		q.apply(rec)
	}
	return err
}

func (q *Quarantine) apply(rec platform.KeyedRecord) {
	if rec.Deleted {
		q.table.ForgetPattern(q.elements[rec.Key])
		delete(q.elements, rec.Key)
		return
	}
	pattern, err := decodePattern(rec.Value)
	if err != nil {
		q.rejected.Add(rec, err)
		return
	}
	q.elements[rec.Key] = pattern.Elements
	q.table.LearnPattern(pattern)
}

// patternRecord is a pattern as it is stored. UntilMS is in Unix milliseconds, since other
// entries have other clocks. The name of Elements is that of earlier releases.
type patternRecord struct {
	Elements []string `json:"parts"`
	Crashes  int      `json:"crashes"`
	Proven   bool     `json:"proven,omitempty"`
	UntilMS  int64    `json:"until_ms"`
}

// EncodePattern encodes a pattern for the store.
func EncodePattern(p quarantine.Pattern) ([]byte, error) {
	until := time.Now().Add(p.Until - clock.Now())
	return json.Marshal(patternRecord{Elements: p.Elements, Crashes: p.Crashes, Proven: p.Proven, UntilMS: until.UnixMilli()})
}

func decodePattern(value []byte) (quarantine.Pattern, error) {
	var r patternRecord
	if err := platform.DecodeRecord(value, &r); err != nil {
		return quarantine.Pattern{}, err
	}
	if err := platform.CheckCount("parts", int64(len(r.Elements)), 1, maxPatternElements); err != nil {
		return quarantine.Pattern{}, err
	}
	if err := platform.CheckCount("crashes", int64(r.Crashes), 0, maxPatternCrashes); err != nil {
		return quarantine.Pattern{}, err
	}
	if err := platform.CheckCount("until_ms", r.UntilMS, 0, platform.MaxUnixMilliseconds); err != nil {
		return quarantine.Pattern{}, err
	}
	until := clock.Now() + min(time.Until(time.UnixMilli(r.UntilMS)), maxPatternTime)
	return quarantine.Pattern{Elements: r.Elements, Crashes: r.Crashes, Proven: r.Proven, Until: until}, nil
}
