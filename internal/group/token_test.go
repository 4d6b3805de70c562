package group

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
)

// Guards against a token that is not equal to the original after formatting and
// parsing.
func TestTokenRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Token{
			Group: rapid.StringMatching(`[a-z:._-]*[a-z]`).Draw(t, "group"), Term: rapid.Uint64().Draw(t, "term"),
			Position: rapid.Uint64().Draw(t, "position"),
		}
		got, err := ParseToken(want.String())
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	})
}

// Guards against a malformed token that is accepted and lowers a session's floor to
// zero.
func TestParseTokenRejectsMalformed(t *testing.T) {
	for _, s := range []string{"", "g", "g:1", ":1:2", "g:1:", "g::2", "g:-1:2", "g:1:2x", "g:1:18446744073709551616"} {
		_, err := ParseToken(s)
		assert.ErrorIs(t, err, ErrToken, "%q", s)
	}
}

// Guards against reads from a replica that has adopted a new term before it
// applied the old log, and from a database whose log tail was discarded.
func TestCovers(t *testing.T) {
	floor := Token{Group: "g", Term: 2, Position: 10}
	cases := []struct {
		role           dbconn.Role
		term, position uint64
		want           bool
	}{
		{dbconn.Replica, 2, 10, true},
		{dbconn.Replica, 2, 9, false},
		{dbconn.Replica, 3, 9, false},
		{dbconn.Replica, 3, 10, true},
		{dbconn.Replica, 1, 50, false},
		{dbconn.Primary, 3, 9, true},
		{dbconn.Primary, 2, 9, false},
		{dbconn.Detached, 3, 50, false},
	}
	for _, c := range cases {
		got := Covers(dbconn.Status{Role: c.role, Term: c.term, Position: c.position}, floor)
		assert.Equal(t, got, c.want, "%+v", c)
	}
}

// Guards against a reported age below the real age of the data when samples arrive
// late or out of order.
func TestSamplesNeverUnderstateTheAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// position(at) grows with time, as on a primary.
		position := func(at time.Duration) uint64 { return uint64(at / 3) }
		var s Samples
		for _, at := range rapid.SliceOfN(rapid.IntRange(1, 400), 1, 300).Draw(t, "times") {
			s.Add(Sample{At: time.Duration(at), Term: 1, Position: position(time.Duration(at))})
		}
		applied := rapid.Uint64Range(0, 150).Draw(t, "applied")
		now := time.Duration(500)
		age, ok := s.DataAge(now, 1, applied)
		assert.Assert(t, !ok || position(now-age) <= applied)
		_, other := s.DataAge(now, 2, applied)
		assert.Assert(t, !other, "data of another term has no age")
	})
}

// Guards against a poll that answers a position request made after the poll was
// sent.
func TestPositionIsPolledAfterRequest(t *testing.T) {
	self := Host{Name: "h", Zone: "z", Incarnation: 1}
	m := New(Options{Group: "g", Self: self, Timing: DefaultTiming()})
	m.Step(1, Lease{Incarnation: 1, Until: time.Hour})
	m.Step(1, Topology{Servers: []Server{{Name: "a", Home: self}}})
	m.Step(2, RowAnswer{ID: 1, Row: Row{Term: 1, Primary: "a", Owner: "h", Incarnation: 1}, Revision: 1})
	m.Step(3, SwapAnswer{WriteID: "h/1/1", Revision: 2, Outcome: Swapped})
	status := dbconn.Status{Server: "a", Term: 1, Role: dbconn.Primary, Position: 7}
	m.Step(20, StatusAnswer{Server: "a", Sent: 10, Status: status})
	for requestedAt, want := range map[time.Duration]Decision{9: Acknowledge, 10: Wait, 11: Wait} {
		_, d := m.PositionSince(30, requestedAt)
		assert.Equal(t, d, want, "requested at %d", requestedAt)
	}
}
