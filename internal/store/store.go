// Package store defines the interfaces to the platform's services: the
// transactional table service, the object store and the host list, which lags
// behind the actual hosts. It also contains a gRPC client for them, an
// in-memory fake with fault injection, and Follower, which reports the changes
// of a space of rows.
//
// A call that returns an error other than ErrConflict may have taken effect,
// because the response can be lost after the write. If a store executes such a
// write late, reading the row back does not show the outcome: the write can
// still follow the read while its condition holds. A further conditional write
// settles the outcome, because only one of the two can succeed. Acting only on
// rows that have been read is safe, too.
package store

import (
	"context"

	"github.com/pkg/errors"
)

// Revision orders the changes of all rows. It consists of the era and the store's
// version. Version 0 stands for a row that does not exist, in any era; Revision 0 is that
// of no known era.
type Revision uint64

// Row is one row of the table service.
type Row struct {
	Key      string
	Value    []byte
	Revision Revision
}

// ErrConflict reports that the row was not at the expected revision and that
// the write did not take effect.
var ErrConflict = errors.New("store: revision conflict")

// ErrNotFound reports that an object does not exist.
var ErrNotFound = errors.New("store: object not found")

// TableService is the platform's transactional table service.
type TableService interface {
	// Get returns the row, with version 0 of the present era when it does not exist.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns the existing rows with the prefix that changed after the
	// revision.
	Scan(ctx context.Context, prefix string, after Revision) ([]Row, error)
	// CompareAndSwap writes value if the row is at revision expect and returns
	// the new revision. Otherwise it returns ErrConflict.
	CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte) (Revision, error)
	// Delete removes the row if it is at revision expect. Otherwise it returns
	// ErrConflict.
	Delete(ctx context.Context, key string, expect Revision) error
}

// ObjectStore is the platform's object store. Objects are immutable by
// convention: every key is written only once.
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

// HostList is the platform's list of hosts. Because it lags behind the actual
// hosts, it may be used to find peers, but not to decide that a host has
// stopped.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}
