// Package configlog folds the records of the configuration stream to versions of
// the configuration. The fold is deterministic: all processes at one offset hold
// the same state.
package configlog

import "github.com/magnoliawheel/magnoliawheel/core/schema"

// Snapshot is the configuration in force as of an offset. It is never changed
// after it was made, so a request stays pinned to one by holding the pointer.
type Snapshot struct {
	// Offset is that of the newest record folded; 0 before the first.
	Offset uint64
	// Schema is nil until a first schema was accepted.
	Schema *schema.Schema
}
