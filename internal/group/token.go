package group

import (
	"strconv"
	"strings"

	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/pkg/errors"
)

// Token is a causality token: a position in the log of one group.
type Token struct {
	Group    string
	Term     uint64
	Position uint64
}

// ErrToken reports a malformed token.
var ErrToken = errors.New("group: malformed token")

// String prints the token as group:term:position.
func (t Token) String() string {
	return t.Group + ":" + strconv.FormatUint(t.Term, 10) + ":" + strconv.FormatUint(t.Position, 10)
}

// ParseToken reads the form that String prints. Group names may contain colons.
func ParseToken(s string) (Token, error) {
	rest, position, ok := cutLast(s)
	if !ok {
		return Token{}, errors.Wrapf(ErrToken, "%q", s)
	}
	name, term, ok := cutLast(rest)
	if !ok || name == "" {
		return Token{}, errors.Wrapf(ErrToken, "%q", s)
	}
	t := Token{Group: name}
	var err error
	if t.Term, err = strconv.ParseUint(term, 10, 64); err != nil {
		return Token{}, errors.Wrapf(ErrToken, "term in %q", s)
	}
	if t.Position, err = strconv.ParseUint(position, 10, 64); err != nil {
		return Token{}, errors.Wrapf(ErrToken, "position in %q", s)
	}
	return t, nil
}

func cutLast(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, ':')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// Less orders tokens of one group by term, then by position.
func (t Token) Less(other Token) bool {
	if t.Term != other.Term {
		return t.Term < other.Term
	}
	return t.Position < other.Position
}

// Raise returns the higher of two tokens of one group.
func (t Token) Raise(other Token) Token {
	if t.Less(other) {
		return other
	}
	return t
}

// Covers reports whether a database with the status holds everything that the
// floor stands for.
//
// A replica needs the position also when its term is higher than the floor's:
// it adopts the new term before it has applied the rest of the old log. The
// primary of a term at least the floor's holds every acknowledged position. A
// detached database may hold a log tail that its group has discarded.
func Covers(s dbconn.Status, floor Token) bool {
	if s.Term < floor.Term {
		return false
	}
	switch s.Role {
	case dbconn.Primary:
		return s.Term > floor.Term || s.Position >= floor.Position
	case dbconn.Replica:
		return s.Position >= floor.Position
	default:
		return false
	}
}
