package watch

import (
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// maxRejections bounds the keys whose rejections are known. Beyond it they are logged again.
	maxRejections = 1024
	// maxCauseBytes is the length to which the cause of a rejection is cut: the errors of JSON
	// decoders contain the values that they reject.
	maxCauseBytes = 200
)

// Rejections logs the records that cannot be used: once for each cause, and not at each read or
// each time that another writer writes the same again. It is not safe for concurrent use.
type Rejections struct {
	log     logr.Logger
	message string
	// causes are the causes that were logged, by the keys of the records.
	causes map[string]string
}

// NewRejections returns Rejections that are logged with the given message.
func NewRejections(log logr.Logger, message string) *Rejections {
	return &Rejections{log: log, message: message, causes: map[string]string{}}
}

// Add logs the cause for which a record was rejected, unless it is that of the record before.
func (r *Rejections) Add(rec platform.KeyedRecord, err error) {
	cause := err.Error()
	if len(cause) > maxCauseBytes {
		cause = cause[:maxCauseBytes] + "..."
	}
	if r.causes[rec.Key] == cause {
		return
	}
	if len(r.causes) >= maxRejections {
		clear(r.causes)
	}
	r.causes[rec.Key] = cause
	r.log.Info(r.message, "key", rec.Key, "offset", rec.Offset, "cause", cause)
}

// Remove forgets the rejection of a key, which has a valid record or none now.
func (r *Rejections) Remove(key string) { delete(r.causes, key) }
