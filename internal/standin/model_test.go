package standin

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	_ "github.com/cranberryhinge/cranberryhinge/internal/fixedseed"
)

// groupModel drives three databases the way the proxy does: writes count as
// acknowledged once the primary reports them as held in its own term, and a
// promotion fences a majority and takes the most advanced database of it.
type groupModel struct {
	t       *rapid.T
	group   []*Database
	term    uint64
	next    int
	acked   []string
	pending map[string]pendingWrite
}

type pendingWrite struct {
	server   *Database
	term     uint64
	position uint64
}

func (m *groupModel) pick(label string) *Database {
	return rapid.SampledFrom(m.group).Draw(m.t, label)
}

// write commits on any database that believes to be primary.
func (m *groupModel) write() {
	db := m.pick("writer")
	db.lock()
	defer db.mu.Unlock()
	if db.role != rolePrimary {
		return
	}
	m.next++
	text := fmt.Sprint("w", m.next)
	db.commit(entry{Term: db.term, Index: db.last() + 1, Logged: []string{text}})
	m.pending[text] = pendingWrite{db, db.term, db.positionAt(db.last())}
}

// acknowledge moves held writes to the acknowledged ones.
func (m *groupModel) acknowledge() {
	time.Sleep(time.Duration(rapid.IntRange(0, 8).Draw(m.t, "wait")) * time.Millisecond)
	for text, w := range m.pending {
		status := w.server.Status()
		if status.Term == w.term && status.Held >= w.position {
			m.acked = append(m.acked, text)
			delete(m.pending, text)
		}
	}
}

func (m *groupModel) isolate() {
	m.pick("isolated").Isolate(m.pick("from").Name())
}

func (m *groupModel) rejoin() {
	for _, db := range m.group {
		db.Rejoin()
	}
}

// crash kills a database and starts it again with its log.
func (m *groupModel) crash() {
	db := m.pick("crashed")
	db.Kill()
	if err := db.Restart(); err != nil {
		m.t.Fatal(err)
	}
}

// promote runs a promotion that reaches a majority only.
func (m *groupModel) promote() {
	m.term++
	left := rapid.IntRange(0, len(m.group)-1).Draw(m.t, "unreachable")
	var best *Database
	var received uint64
	for i, db := range m.group {
		if i == left {
			continue
		}
		db.mu.Lock()
		db.fence(m.term)
		status := db.status()
		db.mu.Unlock()
		if best == nil || status.Received > received {
			best, received = db, status.Received
		}
	}
	best.mu.Lock()
	err := best.promote(m.term)
	best.mu.Unlock()
	if err != nil {
		m.t.Fatal(err)
	}
	m.check(best)
	for i, db := range m.group {
		if i == left && rapid.Bool().Draw(m.t, "unreachable stays away") || db == best {
			continue
		}
		db.mu.Lock()
		err := db.follow(m.term, best.Name())
		db.mu.Unlock()
		if err != nil {
			m.t.Fatal(err)
		}
	}
}

// check fails when the primary lacks an acknowledged write or has one twice.
func (m *groupModel) check(primary *Database) {
	primary.mu.Lock()
	defer primary.mu.Unlock()
	for _, text := range m.acked {
		if n := primary.data.count(text, primary.applied); n != 1 {
			m.t.Fatalf("primary %s of term %d has the acknowledged write %s %d times", primary.Name(), primary.term, text, n)
		}
	}
}

// Guards against acknowledged writes that a later primary lacks, whatever
// isolations, returns of old primaries and promotions come between.
func TestHeldWritesSurvivePromotions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group, err := StartGroup(testSettings("a"), testSettings("b"), testSettings("c"))
		assert.NilError(t, err)
		defer func() {
			for _, db := range group {
				db.Kill()
			}
		}()
		m := &groupModel{t: t, group: group, term: 1, pending: make(map[string]pendingWrite)}
		steps := []func(){m.write, m.write, m.acknowledge, m.acknowledge, m.isolate, m.rejoin, m.promote, m.crash}
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
		}
		m.converge()
	})
}

// converge heals everything and compares the three copies.
func (m *groupModel) converge() {
	m.rejoin()
	m.promote()
	i := slices.IndexFunc(m.group, func(db *Database) bool {
		s := db.Status()
		return s.Role == string(rolePrimary) && s.Term == m.term
	})
	primary := m.group[i]
	for _, db := range m.group {
		db.mu.Lock()
		if db != primary {
			_ = db.follow(m.term, primary.Name())
		}
		db.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, db := range m.group {
		for db.Status().Position != primary.Status().Position {
			if !clock.Sleep(ctx, time.Millisecond) {
				m.t.Fatalf("%s does not catch up: %+v, primary %+v", db.Name(), db.Status(), primary.Status())
			}
		}
		m.check(db)
	}
}
