package owner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
)

// monitorIdleTimeout is the time after which an unused monitor connection is closed.
const monitorIdleTimeout = time.Second

// monitor polls one database. Each database reserves four connections for the
// monitors of all hosts and for the first calls of a new home host. Only the
// home host and the owner therefore keep a connection open; a host that probes
// a suspected primary closes its connection after each poll. Fence, promote and
// follow reuse the idle connection if there is one, because the database may
// have no free connection slot, and dial a new one while a poll is in flight.
type monitor struct {
	address     string
	application string
	dial        func(ctx context.Context, address, application string) (Database, error)

	mu sync.Mutex
	// db is the idle connection, nil if there is none.
	db       Database
	lastUsed time.Duration
	closed   bool
}

// errServerRemoved is returned for a server that the inventory no longer lists.
var errServerRemoved = errors.New("owner: server is not in the inventory")

// pollStatus queries the status of the database. If keep is set, the connection
// stays open for the next poll. The machine has at most one poll of a database
// in flight.
func (m *monitor) pollStatus(ctx context.Context, now time.Duration, keep bool) (dbconn.Status, error) {
	if m == nil {
		return dbconn.Status{}, errServerRemoved
	}
	m.mu.Lock()
	m.lastUsed = now
	m.mu.Unlock()
	var st dbconn.Status
	err := m.withConnection(ctx, statusTimeout, keep, func(ctx context.Context, db Database) (err error) {
		st, err = db.Status(ctx)
		return err
	})
	return st, err
}

// withConnection runs call on the idle connection, or on a new connection if
// there is none. If keep is set, the connection stays open after a successful
// call. A connection on which a call failed or timed out is never reused.
func (m *monitor) withConnection(ctx context.Context, timeout time.Duration, keep bool, call func(context.Context, Database) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m.mu.Lock()
	db := m.db
	m.db = nil
	m.mu.Unlock()
	if db == nil {
		var err error
		if db, err = m.dial(ctx, m.address, m.application); err != nil {
			return err
		}
	}
	if err := call(ctx, db); err != nil {
		_ = db.Close()
		return err
	}
	if !keep {
		return db.Close()
	}
	m.put(db)
	return nil
}

// put stores db as the idle connection, or closes it if there already is one or
// the monitor is closed.
func (m *monitor) put(db Database) {
	m.mu.Lock()
	keep := m.db == nil && !m.closed
	if keep {
		m.db = db
	}
	m.mu.Unlock()
	if !keep {
		_ = db.Close()
	}
}

// closeIdle closes the idle connection if the last poll is longer ago than
// monitorIdleTimeout.
func (m *monitor) closeIdle(now time.Duration) {
	m.mu.Lock()
	db := m.db
	idle := db != nil && now-m.lastUsed > monitorIdleTimeout
	if idle {
		m.db = nil
	}
	m.mu.Unlock()
	if idle {
		_ = db.Close()
	}
}

func (m *monitor) close() {
	m.mu.Lock()
	db := m.db
	m.db, m.closed = nil, true
	m.mu.Unlock()
	if db != nil {
		_ = db.Close()
	}
}

func (m *monitor) fence(ctx context.Context, term uint64) (st dbconn.Status, err error) {
	err = m.runControlCall(ctx, func(ctx context.Context, db Database) error {
		st, err = db.Fence(ctx, term)
		return err
	})
	return st, err
}

// runControlCall runs call, which fences, promotes or follows, with controlTimeout
// and closes the connection afterwards.
func (m *monitor) runControlCall(ctx context.Context, call func(context.Context, Database) error) error {
	if m == nil {
		return errServerRemoved
	}
	return m.withConnection(ctx, controlTimeout, false, call)
}
