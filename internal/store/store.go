// Package store holds the ports to the platform's services: the
// transactional table service, the object store and the lagging host list.
//
// A call that returns an error other than ErrConflict may have taken effect: the
// answer can be lost after the write. Where a store carries such a call out late,
// reading the row back does not settle it, since the write can follow the read
// while its condition holds. A further conditional write does, because only one
// of both can win; so does acting only on rows that were read.
package store

import (
	"context"

	"github.com/pkg/errors"
)

// Revision orders the changes of all rows. Revision 0 means that a row does not
// exist.
type Revision uint64

// Row is one row of the table service.
type Row struct {
	Key      string
	Value    []byte
	Revision Revision
}

// ErrConflict reports that the row was not at the expected revision. The write
// did not take effect.
var ErrConflict = errors.New("store: revision conflict")

// ErrNotFound reports that an object does not exist.
var ErrNotFound = errors.New("store: object not found")

// TableService is the platform's transactional table service.
type TableService interface {
	// Get returns the row, with Revision 0 when it does not exist.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns the live rows with the prefix that changed after the revision.
	Scan(ctx context.Context, prefix string, after Revision) ([]Row, error)
	// CompareAndSwap writes value if the row is at revision expect and returns
	// the new revision.
	CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte) (Revision, error)
	// Delete removes the row if it is at revision expect.
	Delete(ctx context.Context, key string, expect Revision) error
}

// ObjectStore is the platform's object store. Objects are immutable by
// convention: a key is written once.
type ObjectStore interface {
	Put(ctx context.Context, key string, data []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
}

// ListedHost is one entry of the platform's host list.
type ListedHost struct {
	Name    string
	Address string
	Zone    string
	Leaving bool
}

// HostList is the platform's list of hosts. It lags, so it serves to find
// peers and never to decide that a host is gone.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}
