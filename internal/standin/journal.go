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
	// Keep discards the entries after the index.
	Keep *uint64 `json:"keep,omitempty"`
}

type journalState struct {
	Term    uint64 `json:"term"`
	Role    role   `json:"role"`
	Primary string `json:"primary,omitempty"`
}

// journal keeps term, role and log across the end of the process. It is not
// synced: it survives a killed process, not a failed machine.
type journal struct {
	path string
	file *os.File
}

// open reads the journal and opens it for appending.
func (j *journal) open(replay func(journalRecord)) error {
	file, err := os.OpenFile(j.path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return errors.Wrap(err, "journal")
	}
	r := bufio.NewReader(file)
	var good int64
	for {
		line, err := r.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			file.Close()
			return errors.Wrap(err, "journal")
		}
		var record journalRecord
		if err != nil || json.Unmarshal(bytes.TrimSpace(line), &record) != nil {
			break
		}
		good += int64(len(line))
		replay(record)
	}
	// The last line is incomplete when the process was killed while it wrote.
	if err := file.Truncate(good); err != nil {
		file.Close()
		return errors.Wrap(err, "journal")
	}
	if _, err := file.Seek(good, io.SeekStart); err != nil {
		file.Close()
		return errors.Wrap(err, "journal")
	}
	j.file = file
	return nil
}

// append writes a record. A database that cannot write its journal must not
// acknowledge anything, so a failed write ends the process.
func (j *journal) append(record journalRecord) {
	line, err := json.Marshal(record)
	if err == nil {
		_, err = j.file.Write(append(line, '\n'))
	}
	if err != nil {
		panic(errors.Wrap(err, "journal"))
	}
}

// journal writes a record when the settings name a journal. The caller holds
// the lock.
func (db *Database) journal(record journalRecord) {
	if db.disk != nil {
		db.disk.append(record)
	}
}

func (db *Database) journalState() {
	db.journal(journalRecord{State: &journalState{Term: db.term, Role: db.role, Primary: db.primary}})
}

// recover restores the state that the journal holds and reports whether it
// holds any.
func (db *Database) recover() (bool, error) {
	if db.settings.Journal == "" {
		return false, nil
	}
	j := &journal{path: db.settings.Journal}
	found := false
	err := j.open(func(record journalRecord) {
		found = true
		switch {
		case record.State != nil:
			db.term, db.role, db.primary = record.State.Term, record.State.Role, record.State.Primary
		case record.Entry != nil:
			db.entries = append(db.entries, *record.Entry)
		case record.Keep != nil:
			db.entries = db.entries[:*record.Keep]
		}
	})
	if err != nil {
		return false, err
	}
	db.disk = j
	for db.applied < db.last() {
		db.applyNext()
	}
	if db.role == rolePrimary {
		db.termStart = db.firstOfTerm()
	}
	return found, nil
}

// firstOfTerm returns the index of the entry that opened the own term. A
// primary that was killed before it wrote that entry is no primary.
func (db *Database) firstOfTerm() uint64 {
	for _, e := range db.entries {
		if e.Term == db.term {
			return e.Index
		}
	}
	db.role = roleDetached
	return 0
}
