package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Change is a row that changed, or that was removed.
type Change struct {
	Row
	Removed bool
}

// Changes are the changes of a space up to Revision.
type Changes struct {
	Rows     []Change
	Revision Revision
	// Stamp is the store's steady clock at the time of the answer.
	Stamp time.Duration
}

// ErrHistoryLost reports that the changes after a revision are no longer known,
// so that the space has to be read as a whole.
var ErrHistoryLost = errors.New("store: history lost")

// Watcher reports changes of a space of rows. A space is the part of the keys
// before the first slash.
type Watcher interface {
	// ReadAll returns all rows of the space.
	ReadAll(ctx context.Context, space string) (Changes, error)
	// Watch returns the changes after the revision as soon as there is one, and
	// none after the wait. The answer holds every change that was made before
	// the call.
	Watch(ctx context.Context, space string, after Revision, wait time.Duration) (Changes, error)
}
