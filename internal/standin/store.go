package standin

import "sort"

// change is one write to the table kv.
type change struct {
	Key     string
	Value   string
	Deleted bool
}

// entry is one log entry: a committed transaction, or nothing but the start of
// a term.
type entry struct {
	Term    uint64
	Index   uint64
	Changes []change
	Logged  []string // rows added to the table log
}

// indexBits is the width of the log index inside a position.
const indexBits = 40

// position returns the entry's log position. The term stands in the high bits,
// so that a log tail of an old term, however long, is never more advanced than
// a log that a later primary has extended.
func (e entry) position() uint64 { return e.Term<<indexBits | e.Index }

type version struct {
	index   uint64
	value   string
	deleted bool
}

type loggedRow struct {
	index uint64
	text  string
}

// store holds every version of every row, so that a discarded log tail can be
// undone and transactions read from a snapshot.
type store struct {
	rows   map[string][]version
	logged []loggedRow
	counts map[string][]uint64
}

func newStore() *store {
	return &store{rows: make(map[string][]version), counts: make(map[string][]uint64)}
}

func (s *store) apply(e entry) {
	for _, c := range e.Changes {
		s.rows[c.Key] = append(s.rows[c.Key], version{index: e.Index, value: c.Value, deleted: c.Deleted})
	}
	for _, text := range e.Logged {
		s.logged = append(s.logged, loggedRow{index: e.Index, text: text})
		s.counts[text] = append(s.counts[text], e.Index)
	}
}

// truncate undoes every entry after the index.
func (s *store) truncate(index uint64) {
	for key, versions := range s.rows {
		n := sort.Search(len(versions), func(i int) bool { return versions[i].index > index })
		s.rows[key] = versions[:n]
	}
	for text, indexes := range s.counts {
		n := sort.Search(len(indexes), func(i int) bool { return indexes[i] > index })
		s.counts[text] = indexes[:n]
	}
	n := sort.Search(len(s.logged), func(i int) bool { return s.logged[i].index > index })
	s.logged = s.logged[:n]
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

// count returns how often the text is in the table log.
func (s *store) count(text string, snapshot uint64) int {
	indexes := s.counts[text]
	return sort.Search(len(indexes), func(i int) bool { return indexes[i] > snapshot })
}

// transaction reads from a snapshot and buffers its writes until the commit.
type transaction struct {
	explicit bool
	readOnly bool
	failed   bool
	started  bool
	snapshot uint64
	// generation is the database's count of discarded tails at the snapshot.
	generation uint64
	writes     map[string]change
	order      []string
	logged     []string
	// before holds the session settings to restore on rollback, locals those
	// to restore in any case.
	before map[string]string
	locals map[string]*string
}

func (t *transaction) write(c change) {
	if t.writes == nil {
		t.writes = make(map[string]change)
	}
	if _, ok := t.writes[c.Key]; !ok {
		t.order = append(t.order, c.Key)
	}
	t.writes[c.Key] = c
}

func (t *transaction) get(s *store, key string) (string, bool) {
	if c, ok := t.writes[key]; ok {
		return c.Value, !c.Deleted
	}
	return s.get(key, t.snapshot)
}

// scan returns the live rows ordered by key.
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

func (t *transaction) entries(s *store) []string {
	n := sort.Search(len(s.logged), func(i int) bool { return s.logged[i].index > t.snapshot })
	texts := make([]string, 0, n+len(t.logged))
	for _, row := range s.logged[:n] {
		texts = append(texts, row.text)
	}
	return append(texts, t.logged...)
}

func (t *transaction) count(s *store, text string) int {
	n := s.count(text, t.snapshot)
	for _, own := range t.logged {
		if own == text {
			n++
		}
	}
	return n
}

func (t *transaction) entry(term, index uint64) entry {
	e := entry{Term: term, Index: index, Logged: t.logged}
	for _, key := range t.order {
		e.Changes = append(e.Changes, t.writes[key])
	}
	return e
}
