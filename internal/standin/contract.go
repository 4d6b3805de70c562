package standin

import (
	"cmp"
	"slices"
)

// Status is a database's own view of its place in the group.
type Status struct {
	Server      string
	Term        uint64
	Role        string
	Position    uint64
	Held        uint64
	Connections int
	Received    uint64
}

// Status returns the status without a connection, also while paused.
func (db *Database) Status() Status {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.status()
}

func (db *Database) status() Status {
	return Status{
		Server:      db.settings.Name,
		Term:        db.term,
		Role:        string(db.role),
		Position:    db.positionAt(db.applied),
		Held:        db.held(),
		Connections: db.openCount,
		Received:    db.positionAt(db.last()),
	}
}

func (db *Database) last() uint64 { return uint64(len(db.entries)) }

func (db *Database) positionAt(index uint64) uint64 {
	if index == 0 {
		return 0
	}
	return db.entries[index-1].position()
}

// held returns the highest position that a majority holds in the own term. A
// majority that lacks the entry that opened the term does not count: without
// that entry a database with a tail of an older term could still be chosen in
// a later promotion and replace what the majority holds.
func (db *Database) held() uint64 {
	if db.role != rolePrimary {
		return 0
	}
	holds := []uint64{db.last()}
	for peer := range db.peers {
		holds = append(holds, db.acks[peer])
	}
	slices.SortFunc(holds, func(a, b uint64) int { return cmp.Compare(b, a) })
	if index := holds[len(holds)/2]; index >= db.termStart {
		return db.positionAt(index)
	}
	return 0
}

// becomePrimary opens the database's term. The caller holds the lock.
func (db *Database) becomePrimary() {
	for db.applied < db.last() {
		db.applyNext()
	}
	db.role, db.primary = rolePrimary, ""
	db.journalState()
	db.acks = make(map[string]uint64)
	db.commit(entry{Term: db.term, Index: db.last() + 1})
	db.termStart = db.last()
	db.relink()
}

// commit appends an entry on a primary.
func (db *Database) commit(e entry) {
	db.entries = append(db.entries, e)
	db.journal(journalRecord{Entry: &e})
	db.data.apply(e)
	db.applied = e.Index
	db.changed()
}

func (db *Database) applyNext() {
	db.data.apply(db.entries[db.applied])
	db.applied++
	if len(db.due) > 0 {
		db.due = db.due[1:]
	}
}

// discard removes the log tail after the index.
func (db *Database) discard(index uint64) {
	if index >= db.last() {
		return
	}
	db.entries = db.entries[:index:index]
	db.journal(journalRecord{Keep: &index})
	if db.applied > index {
		db.data.truncate(index)
		db.applied = index
		db.generation++
	}
	db.due = db.due[:index-db.applied]
	db.changed()
}

// fence adopts a higher term. The caller holds the lock.
func (db *Database) fence(term uint64) {
	if term <= db.term {
		return
	}
	db.term = term
	db.role, db.primary = roleDetached, ""
	db.journalState()
	db.relink()
}

func (db *Database) promote(term uint64) *sqlError {
	if term != db.term {
		return failf(codeWrongState, "term %d is not the adopted term %d", term, db.term)
	}
	if db.role != rolePrimary {
		db.becomePrimary()
	}
	return nil
}

func (db *Database) follow(term uint64, primary string) *sqlError {
	switch {
	case term < db.term:
		return failf(codeWrongState, "term %d is below the adopted term %d", term, db.term)
	case term == db.term && db.role == rolePrimary:
		return failf(codeWrongState, "server is the primary of term %d", term)
	case primary == db.settings.Name:
		return failf(codeWrongState, "server cannot follow itself")
	}
	if _, ok := db.peers[primary]; !ok {
		return failf(codeUndefinedObject, "server %q is not in the group", primary)
	}
	if term == db.term && db.role == roleReplica && db.primary == primary {
		return nil
	}
	db.term, db.role, db.primary = term, roleReplica, primary
	db.journalState()
	db.relink()
	return nil
}
