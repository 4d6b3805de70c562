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

// groupModel drives three databases as the proxy does: a write counts as
// acknowledged once its primary reports in its own term that a majority holds
// it, and a promotion fences a majority and promotes the most advanced database
// of it.
type groupModel struct {
	t            *rapid.T
	group        []*Database
	term         uint64
	writeCount   int
	acknowledged []string
	pending      map[string]pendingWrite
}

type pendingWrite struct {
	server   *Database
	term     uint64
	position uint64
}

func (m *groupModel) drawDatabase(label string) *Database {
	return rapid.SampledFrom(m.group).Draw(m.t, label)
}

// write commits on a drawn database if that database has the role of a primary,
// also in an outdated term.
func (m *groupModel) write() {
	db := m.drawDatabase("writer")
	db.lock()
	defer db.mu.Unlock()
	if db.role != rolePrimary {
		return
	}
	m.writeCount++
	text := fmt.Sprint("w", m.writeCount)
	db.commit(entry{Term: db.term, Index: db.lastIndex() + 1, Logged: []string{text}})
	m.pending[text] = pendingWrite{db, db.term, db.positionAt(db.lastIndex())}
}

// acknowledge moves the pending writes that a majority holds to the
// acknowledged ones.
func (m *groupModel) acknowledge() {
	time.Sleep(time.Duration(rapid.IntRange(0, 8).Draw(m.t, "wait")) * time.Millisecond)
	for text, w := range m.pending {
		status := w.server.Status()
		if status.Term == w.term && status.MajorityPosition >= w.position {
			m.acknowledged = append(m.acknowledged, text)
			delete(m.pending, text)
		}
	}
}

func (m *groupModel) isolate() {
	m.drawDatabase("isolated").Isolate(m.drawDatabase("from").Name())
}

func (m *groupModel) endIsolation() {
	for _, db := range m.group {
		db.EndIsolation()
	}
}

// crash kills a database and restarts it with its log.
func (m *groupModel) crash() {
	db := m.drawDatabase("crashed")
	db.Kill()
	if err := db.Restart(); err != nil {
		m.t.Fatal(err)
	}
}

// promote runs a promotion in which one database is unreachable.
func (m *groupModel) promote() {
	m.term++
	unreachable := rapid.IntRange(0, len(m.group)-1).Draw(m.t, "unreachable")
	var mostAdvanced *Database
	var received uint64
	for i, db := range m.group {
		if i == unreachable {
			continue
		}
		db.mu.Lock()
		db.fence(m.term)
		status := db.status()
		db.mu.Unlock()
		if mostAdvanced == nil || status.ReceivedPosition > received {
			mostAdvanced, received = db, status.ReceivedPosition
		}
	}
	mostAdvanced.mu.Lock()
	err := mostAdvanced.promote(m.term)
	mostAdvanced.mu.Unlock()
	if err != nil {
		m.t.Fatal(err)
	}
	m.checkAcknowledged(mostAdvanced)
	for i, db := range m.group {
		if i == unreachable && rapid.Bool().Draw(m.t, "unreachable stays away") || db == mostAdvanced {
			continue
		}
		db.mu.Lock()
		err := db.follow(m.term, mostAdvanced.Name())
		db.mu.Unlock()
		if err != nil {
			m.t.Fatal(err)
		}
	}
}

// checkAcknowledged fails if the database lacks an acknowledged write or has
// one twice.
func (m *groupModel) checkAcknowledged(primary *Database) {
	primary.mu.Lock()
	defer primary.mu.Unlock()
	for _, text := range m.acknowledged {
		if n := primary.data.countLogRows(text, primary.appliedIndex); n != 1 {
			m.t.Fatalf("primary %s of term %d has the acknowledged write %s %d times", primary.Name(), primary.term, text, n)
		}
	}
}

// Guards against a later primary that lacks an acknowledged write, after any
// sequence of isolations, restarts of old primaries and promotions.
func TestAcknowledgedWritesSurvivePromotions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group, err := StartGroup(testSettings("a"), testSettings("b"), testSettings("c"))
		assert.NilError(t, err)
		defer func() {
			for _, db := range group {
				db.Kill()
			}
		}()
		m := &groupModel{t: t, group: group, term: 1, pending: make(map[string]pendingWrite)}
		steps := []func(){m.write, m.write, m.acknowledge, m.acknowledge, m.isolate, m.endIsolation, m.promote, m.crash}
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
		}
		m.converge()
	})
}

// converge ends all isolation, runs a promotion that all databases follow and
// compares the three copies.
func (m *groupModel) converge() {
	m.endIsolation()
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
		m.checkAcknowledged(db)
	}
}
