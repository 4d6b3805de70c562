package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"

	"github.com/pkg/errors"
)

// journalRecord is one line of the journal. Exactly one field is set.
type journalRecord struct {
	State *journalState `json:"state,omitempty"`
	Entry *entry        `json:"entry,omitempty"`
	// TruncateAfter discards the entries after this index.
	TruncateAfter *uint64 `json:"keep,omitempty"`
}

type journalState struct {
	Term    uint64 `json:"term"`
	Role    role   `json:"role"`
	Primary string `json:"primary,omitempty"`
}

// journal keeps term, role and log in a file, so that they survive the end of the
// process. The file is not synced: it survives a killed process, but not a failed
// machine.
type journal struct {
	path string
	file *os.File
}

// openAndReplay passes the records of the journal to replay and opens it for
// appending.
func (j *journal) openAndReplay(replay func(journalRecord)) error {
	file, err := os.OpenFile(j.path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return errors.Wrap(err, "open journal")
	}
	r := bufio.NewReader(file)
	var validBytes int64
	for {
		line, err := r.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			file.Close()
			return errors.Wrap(err, "read journal")
		}
		var record journalRecord
		if err != nil || json.Unmarshal(bytes.TrimSpace(line), &record) != nil {
			break
		}
		validBytes += int64(len(line))
		replay(record)
	}
	// The last line is incomplete if the process was killed while it wrote the
	// line.
	if err := file.Truncate(validBytes); err != nil {
		file.Close()
		return errors.Wrap(err, "truncate journal")
	}
	if _, err := file.Seek(validBytes, io.SeekStart); err != nil {
		file.Close()
		return errors.Wrap(err, "seek journal")
	}
	j.file = file
	return nil
}

// appendRecord writes a record. A database that cannot write its journal must
// not acknowledge anything, so a failed write ends the process.
func (j *journal) appendRecord(record journalRecord) {
	line, err := json.Marshal(record)
	if err == nil {
		_, err = j.file.Write(append(line, '\n'))
	}
	if err != nil {
		panic(errors.Wrap(err, "write journal"))
	}
}

// appendJournal writes a record if the settings name a journal. The caller
// holds the lock.
func (db *Database) appendJournal(record journalRecord) {
	if db.journal != nil {
		db.journal.appendRecord(record)
	}
}

func (db *Database) appendJournalState() {
	db.appendJournal(journalRecord{State: &journalState{Term: db.term, Role: db.role, Primary: db.primary}})
}

// replayJournal restores the state from the journal and reports whether the
// journal contains any.
func (db *Database) replayJournal() (bool, error) {
	if db.settings.Journal == "" {
		return false, nil
	}
	j := &journal{path: db.settings.Journal}
	hasState := false
	err := j.openAndReplay(func(record journalRecord) {
		hasState = true
		switch {
		case record.State != nil:
			db.term, db.role, db.primary = record.State.Term, record.State.Role, record.State.Primary
		case record.Entry != nil:
			db.entries = append(db.entries, *record.Entry)
		case record.TruncateAfter != nil:
			db.entries = db.entries[:*record.TruncateAfter]
		}
	})
	if err != nil {
		return false, err
	}
	db.journal = j
	for db.appliedIndex < db.lastIndex() {
		db.applyNext()
	}
	if db.role == rolePrimary {
		db.termStart = db.findTermStart()
	}
	return hasState, nil
}

// findTermStart returns the index of the entry that opened the database's own
// term. A primary that was killed before it wrote that entry becomes detached;
// the index is then 0.
func (db *Database) findTermStart() uint64 {
	for _, e := range db.entries {
		if e.Term == db.term {
			return e.Index
		}
	}
	db.role = roleDetached
	return 0
}
