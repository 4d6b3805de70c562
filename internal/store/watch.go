package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Change is a row that was written or removed.
type Change struct {
	Row
	Removed bool
	// Err is set if the value of the row cannot be decoded. The value is then empty.
	Err error
}

// SkippedRow is a row that cannot be decoded. Its key and revision may be incomplete.
type SkippedRow struct {
	Key      string
	Revision Revision
	Err      error
}

// Changes are the changes of a space up to Revision.
type Changes struct {
	Rows []Change
	// Skipped are rows that another program has written and that cannot be decoded.
	Skipped  []SkippedRow
	Revision Revision
	// Stamp is the time of the response on the store's monotonic clock.
	Stamp time.Duration
}

// ErrHistoryLost reports that the store no longer has the changes after a
// revision, so that the whole space has to be read.
var ErrHistoryLost = errors.New("store: history lost")

// Watcher reads the rows of a space and their changes. A space is the set of
// rows whose keys have the same part before the first slash.
type Watcher interface {
	// ReadAll returns all rows of the space.
	ReadAll(ctx context.Context, space string) (Changes, error)
	// Watch is a long poll. It returns the changes after the revision as soon as
	// there are any, or no changes once wait has passed. The response contains
	// every change that was made before the call.
	Watch(ctx context.Context, space string, after Revision, wait time.Duration) (Changes, error)
}
