package standin

import (
	"cmp"
	"slices"
)

// Status is a database's own view of its role in the group. Position,
// MajorityPosition and ReceivedPosition are log positions: of the last applied
// entry, of the last entry that a majority holds in the database's own term (0
// unless it is the primary), and of the last received entry.
type Status struct {
	Server           string
	Term             uint64
	Role             string
	Position         uint64
	MajorityPosition uint64
	Connections      int
	ReceivedPosition uint64
}

// Status returns the status without a client connection. It does not wait for
// the end of a Pause.
func (db *Database) Status() Status {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.status()
}

func (db *Database) status() Status {
	return Status{
		Server:           db.settings.Name,
		Term:             db.term,
		Role:             string(db.role),
		Position:         db.positionAt(db.appliedIndex),
		MajorityPosition: db.majorityPosition(),
		Connections:      db.openConnections,
		ReceivedPosition: db.positionAt(db.lastIndex()),
	}
}

func (db *Database) lastIndex() uint64 { return uint64(len(db.entries)) }

func (db *Database) positionAt(index uint64) uint64 {
	if index == 0 {
		return 0
	}
	return db.entries[index-1].position()
}

// majorityPosition returns the highest position that a majority holds in the
// database's own term, 0 if there is none. A majority that lacks the entry that
// opened the term does not count: without that entry, a database with a log
// tail of an older term could still be chosen in a later promotion and replace
// what the majority holds.
func (db *Database) majorityPosition() uint64 {
	if db.role != rolePrimary {
		return 0
	}
	ackedIndexes := []uint64{db.lastIndex()}
	for peer := range db.peers {
		ackedIndexes = append(ackedIndexes, db.ackedIndexes[peer])
	}
	slices.SortFunc(ackedIndexes, func(a, b uint64) int { return cmp.Compare(b, a) })
	if index := ackedIndexes[len(ackedIndexes)/2]; index >= db.termStart {
		return db.positionAt(index)
	}
	return 0
}

// becomePrimary applies all received entries and opens the database's term with
// an entry of its own. The caller holds the lock.
func (db *Database) becomePrimary() {
	for db.appliedIndex < db.lastIndex() {
		db.applyNext()
	}
	db.role, db.primary = rolePrimary, ""
	db.appendJournalState()
	db.ackedIndexes = make(map[string]uint64)
	db.commit(entry{Term: db.term, Index: db.lastIndex() + 1})
	db.termStart = db.lastIndex()
	db.restartReplication()
}

// commit appends an entry to the log of a primary and applies it. The caller
// holds the lock.
func (db *Database) commit(e entry) {
	db.entries = append(db.entries, e)
	db.appendJournal(journalRecord{Entry: &e})
	db.data.apply(e)
	db.appliedIndex = e.Index
	db.signalChange()
}

func (db *Database) applyNext() {
	db.data.apply(db.entries[db.appliedIndex])
	db.appliedIndex++
	if len(db.applyTimes) > 0 {
		db.applyTimes = db.applyTimes[1:]
	}
}

// truncateLog removes the log entries after the index and undoes those that
// were applied.
func (db *Database) truncateLog(index uint64) {
	if index >= db.lastIndex() {
		return
	}
	db.entries = db.entries[:index:index]
	db.appendJournal(journalRecord{TruncateAfter: &index})
	if db.appliedIndex > index {
		db.data.truncate(index)
		db.appliedIndex = index
		db.generation++
	}
	db.applyTimes = db.applyTimes[:index-db.appliedIndex]
	db.signalChange()
}

// fence adopts a higher term and detaches the database from its primary; a term
// that is not higher has no effect. The caller holds the lock.
func (db *Database) fence(term uint64) {
	if term <= db.term {
		return
	}
	db.term = term
	db.role, db.primary = roleDetached, ""
	db.appendJournalState()
	db.restartReplication()
}

// promote makes the database the primary of its adopted term. Any other term is
// an error. The caller holds the lock.
func (db *Database) promote(term uint64) *sqlError {
	if term != db.term {
		return sqlErrorf(codeObjectNotInPrerequisiteState, "term %d is not the adopted term %d", term, db.term)
	}
	if db.role != rolePrimary {
		db.becomePrimary()
	}
	return nil
}

// follow makes the database a replica of the named primary in the term. The
// caller holds the lock.
func (db *Database) follow(term uint64, primary string) *sqlError {
	switch {
	case term < db.term:
		return sqlErrorf(codeObjectNotInPrerequisiteState, "term %d is below the adopted term %d", term, db.term)
	case term == db.term && db.role == rolePrimary:
		return sqlErrorf(codeObjectNotInPrerequisiteState, "server is the primary of term %d", term)
	case primary == db.settings.Name:
		return sqlErrorf(codeObjectNotInPrerequisiteState, "server cannot follow itself")
	}
	if _, ok := db.peers[primary]; !ok {
		return sqlErrorf(codeUndefinedObject, "server %q is not in the group", primary)
	}
	if term == db.term && db.role == roleReplica && db.primary == primary {
		return nil
	}
	db.term, db.role, db.primary = term, roleReplica, primary
	db.appendJournalState()
	db.restartReplication()
	return nil
}
