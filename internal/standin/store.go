package standin

import "sort"

// change is one write to the table kv.
type change struct {
	Key     string
	Value   string
	Deleted bool
}

// entry is one log entry: a committed transaction, or an empty entry that opens
// a term. The journal and the replication connection hold it under the names of
// its fields.
type entry struct {
	Term    uint64
	Index   uint64
	Changes []change
	Logged  []string // rows added to the table log
}

// indexBits is the width of the log index inside a position.
const indexBits = 40

// position returns the entry's log position. The term is in the high bits, so
// that a log tail of an old term, however long, ranks below a log that a later
// primary has extended.
func (e entry) position() uint64 { return e.Term<<indexBits | e.Index }

type rowVersion struct {
	index   uint64
	value   string
	deleted bool
}

type logRow struct {
	index uint64
	text  string
}

// store holds every version of every row, so that a discarded log tail can be
// undone and transactions read from a snapshot.
type store struct {
	rows          map[string][]rowVersion
	logRows       []logRow
	logRowIndexes map[string][]uint64
}

func newStore() *store {
	return &store{rows: make(map[string][]rowVersion), logRowIndexes: make(map[string][]uint64)}
}

func (s *store) apply(e entry) {
	for _, c := range e.Changes {
		s.rows[c.Key] = append(s.rows[c.Key], rowVersion{index: e.Index, value: c.Value, deleted: c.Deleted})
	}
	for _, text := range e.Logged {
		s.logRows = append(s.logRows, logRow{index: e.Index, text: text})
		s.logRowIndexes[text] = append(s.logRowIndexes[text], e.Index)
	}
}

// truncate undoes every entry after the index.
func (s *store) truncate(index uint64) {
	for key, versions := range s.rows {
		n := sort.Search(len(versions), func(i int) bool { return versions[i].index > index })
		s.rows[key] = versions[:n]
	}
	for text, indexes := range s.logRowIndexes {
		n := sort.Search(len(indexes), func(i int) bool { return indexes[i] > index })
		s.logRowIndexes[text] = indexes[:n]
	}
	n := sort.Search(len(s.logRows), func(i int) bool { return s.logRows[i].index > index })
	s.logRows = s.logRows[:n]
}

func (s *store) get(key string, snapshot uint64) (string, bool) {
	versions := s.rows[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].index <= snapshot {
			return versions[i].value, !versions[i].deleted
		}
	}
	return "", false
}

// changedAfter reports whether the key was written after the snapshot.
func (s *store) changedAfter(key string, snapshot uint64) bool {
	versions := s.rows[key]
	return len(versions) > 0 && versions[len(versions)-1].index > snapshot
}

// countLogRows returns how often the text is in the table log at the snapshot.
func (s *store) countLogRows(text string, snapshot uint64) int {
	indexes := s.logRowIndexes[text]
	return sort.Search(len(indexes), func(i int) bool { return indexes[i] > snapshot })
}

// transaction reads from a snapshot and buffers its writes until the commit.
type transaction struct {
	explicit    bool
	readOnly    bool
	failed      bool
	hasSnapshot bool
	snapshot    uint64
	// generation is the generation of the database when the snapshot was taken.
	generation uint64
	writes     map[string]change
	writeOrder []string
	logRows    []string
	// savedSettings holds the session settings to restore on rollback, savedLocals
	// those to restore at the end of the transaction in any case.
	savedSettings map[string]string
	savedLocals   map[string]*string
}

func (t *transaction) write(c change) {
	if t.writes == nil {
		t.writes = make(map[string]change)
	}
	if _, ok := t.writes[c.Key]; !ok {
		t.writeOrder = append(t.writeOrder, c.Key)
	}
	t.writes[c.Key] = c
}

func (t *transaction) get(s *store, key string) (string, bool) {
	if c, ok := t.writes[key]; ok {
		return c.Value, !c.Deleted
	}
	return s.get(key, t.snapshot)
}

// scan returns the visible rows ordered by key.
func (t *transaction) scan(s *store) [][2]string {
	keys := make([]string, 0, len(s.rows)+len(t.writes))
	for key := range s.rows {
		keys = append(keys, key)
	}
	for key := range t.writes {
		if _, ok := s.rows[key]; !ok {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	rows := make([][2]string, 0, len(keys))
	for _, key := range keys {
		if value, ok := t.get(s, key); ok {
			rows = append(rows, [2]string{key, value})
		}
	}
	return rows
}

func (t *transaction) scanLog(s *store) []string {
	n := sort.Search(len(s.logRows), func(i int) bool { return s.logRows[i].index > t.snapshot })
	texts := make([]string, 0, n+len(t.logRows))
	for _, row := range s.logRows[:n] {
		texts = append(texts, row.text)
	}
	return append(texts, t.logRows...)
}

func (t *transaction) countLogRows(s *store, text string) int {
	n := s.countLogRows(text, t.snapshot)
	for _, row := range t.logRows {
		if row == text {
			n++
		}
	}
	return n
}

func (t *transaction) newEntry(term, index uint64) entry {
	e := entry{Term: term, Index: index, Logged: t.logRows}
	for _, key := range t.writeOrder {
		e.Changes = append(e.Changes, t.writes[key])
	}
	return e
}
