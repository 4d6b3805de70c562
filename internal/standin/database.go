package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

type role string

const (
	rolePrimary  role = "primary"
	roleReplica  role = "replica"
	roleDetached role = "detached"
)

// Database is one stand-in database server.
type Database struct {
	settings DatabaseSettings
	delays   *delaySampler
	address  string
	slots    chan struct{}

	mu         sync.Mutex
	resumeCond *sync.Cond
	paused     bool
	// changeSignal is closed and replaced whenever the log, the term, the role, an
	// acknowledgement or a replication setting changes.
	changeSignal chan struct{}
	instance     *instance

	term         uint64
	role         role
	primary      string // the primary that a replica follows
	entries      []entry
	appliedIndex uint64 // index of the last applied entry
	// applyTimes holds the time at which each received entry that is not yet
	// applied is to be applied, in log order.
	applyTimes []time.Time
	// termStart is the index of the entry that opened the database's own term.
	termStart uint64
	// ackedIndexes holds, per replica, the index acknowledged in the database's own
	// term.
	ackedIndexes map[string]uint64
	// generation counts the log truncations that undid applied entries.
	generation uint64
	data       *store

	peers         map[string]string
	isolatedPeers map[string]bool
	applyEnabled  bool
	// cancelReplication closes the replica's connection to its primary.
	cancelReplication func()

	sessions          map[uint32]*session
	lastSessionID     uint32
	openConnections   int
	waitingStatements int
	runningStatements int
	record            Record
	watchedTexts      []string
	journal           *journal
}

// instance is one run of the server, from a start until the next Kill.
type instance struct {
	ctx        context.Context
	cancel     context.CancelFunc
	listener   net.Listener
	conns      map[net.Conn]struct{}
	goroutines sync.WaitGroup
}

// Start starts a database and returns once it accepts connections.
func Start(settings DatabaseSettings) (*Database, error) {
	if err := settings.applyDefaults(); err != nil {
		return nil, err
	}
	db := &Database{
		settings:      settings,
		delays:        newDelaySampler(settings.Seed),
		address:       settings.Address,
		slots:         make(chan struct{}, settings.Slots),
		changeSignal:  make(chan struct{}),
		term:          settings.Term,
		role:          roleDetached,
		ackedIndexes:  make(map[string]uint64),
		data:          newStore(),
		peers:         settings.Peers,
		isolatedPeers: make(map[string]bool),
		applyEnabled:  true,
		sessions:      make(map[uint32]*session),
	}
	db.resumeCond = sync.NewCond(&db.mu)
	recovered, err := db.replayJournal()
	if err != nil {
		return nil, err
	}
	if !recovered {
		db.initializeFromSettings()
	}
	if err := db.Restart(); err != nil {
		return nil, err
	}
	return db, nil
}

// initializeFromSettings sets the first role from the settings and writes it to
// the journal.
func (db *Database) initializeFromSettings() {
	switch db.settings.Primary {
	case "":
	case db.settings.Name:
		db.becomePrimary()
		return
	default:
		db.role, db.primary = roleReplica, db.settings.Primary
	}
	db.appendJournalState()
}

// RunDatabase runs a database until the context is cancelled.
func RunDatabase(ctx context.Context, settings DatabaseSettings) error {
	db, err := Start(settings)
	if err != nil {
		return err
	}
	<-ctx.Done()
	db.Kill()
	if db.journal != nil {
		return errors.Wrap(db.journal.file.Close(), "close journal")
	}
	return nil
}

// StartGroup starts one database for each element and sets the addresses of the
// others as its peers. If one fails to start, all of them are stopped.
func StartGroup(settings ...DatabaseSettings) ([]*Database, error) {
	var group []*Database
	for _, s := range settings {
		db, err := Start(s)
		if err != nil {
			for _, started := range group {
				started.Kill()
			}
			return nil, err
		}
		group = append(group, db)
	}
	for _, db := range group {
		peers := make(map[string]string)
		for _, other := range group {
			if other != db {
				peers[other.Name()] = other.Address()
			}
		}
		db.SetPeers(peers)
	}
	return group, nil
}

// Name returns the database's name.
func (db *Database) Name() string { return db.settings.Name }

// Address returns the address that the database listens on.
func (db *Database) Address() string { return db.address }

// lock acquires the state lock and waits while the database is paused.
func (db *Database) lock() {
	db.mu.Lock()
	for db.paused {
		db.resumeCond.Wait()
	}
}

// restartReplication closes the connection to the primary and signals a change.
// The caller holds the lock.
func (db *Database) restartReplication() {
	if db.cancelReplication != nil {
		db.cancelReplication()
		db.cancelReplication = nil
	}
	db.signalChange()
}

// signalChange wakes all goroutines that wait for a change. The caller holds
// the lock.
func (db *Database) signalChange() {
	close(db.changeSignal)
	db.changeSignal = make(chan struct{})
}

func (db *Database) acceptLoop(inst *instance) {
	defer inst.goroutines.Done()
	for {
		conn, err := inst.listener.Accept()
		if err != nil {
			return
		}
		db.mu.Lock()
		if inst.ctx.Err() != nil {
			db.mu.Unlock()
			conn.Close()
			return
		}
		inst.conns[conn] = struct{}{}
		inst.goroutines.Add(1)
		db.mu.Unlock()
		go func() {
			defer inst.goroutines.Done()
			db.serveConn(inst, conn)
			conn.Close()
			db.mu.Lock()
			delete(inst.conns, conn)
			db.mu.Unlock()
		}()
	}
}

// Restart starts the database again after Kill, on the same address and with
// the log, term and role that it had. It returns an error if the database is
// running or the address is not available.
func (db *Database) Restart() error {
	db.mu.Lock()
	defer db.mu.Unlock()
	if db.instance != nil {
		return errors.New("database is already running")
	}
	listener, err := net.Listen("tcp", db.address)
	if err != nil {
		return errors.Wrapf(err, "listen for database %s", db.settings.Name)
	}
	db.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	inst := &instance{ctx: ctx, cancel: cancel, listener: listener, conns: make(map[net.Conn]struct{})}
	db.instance = inst
	db.ackedIndexes = make(map[string]uint64)
	inst.goroutines.Add(3)
	go db.acceptLoop(inst)
	go db.followLoop(inst)
	go db.applyLoop(inst)
	return nil
}

// Kill stops the database as a crash does: every connection breaks and every
// open transaction is lost. Kill returns when all goroutines have ended.
func (db *Database) Kill() {
	db.mu.Lock()
	inst := db.instance
	if inst == nil {
		db.mu.Unlock()
		return
	}
	db.instance = nil
	inst.cancel()
	inst.listener.Close()
	for _, s := range db.sessions {
		db.dropSession(s)
	}
	for conn := range inst.conns {
		conn.Close()
	}
	db.paused = false
	db.resumeCond.Broadcast()
	db.mu.Unlock()
	inst.goroutines.Wait()
}
