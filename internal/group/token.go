package group

import (
	"strconv"
	"strings"

	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/pkg/errors"
)

// Token is a causality token: a log position of one group.
type Token struct {
	Group    string
	Term     uint64
	Position uint64
}

// ErrToken is returned for a malformed token.
var ErrToken = errors.New("group: malformed token")

// String formats the token as group:term:position.
func (t Token) String() string {
	return t.Group + ":" + strconv.FormatUint(t.Term, 10) + ":" + strconv.FormatUint(t.Position, 10)
}

// ParseToken parses the format of String. Group names may contain colons. It
// returns an error that wraps ErrToken if the text is malformed.
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

// cutLast splits s at its last colon.
func cutLast(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, ':')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// Less reports whether the token is lower than another one of the same group, by
// term first and then by position.
func (t Token) Less(other Token) bool {
	if t.Term != other.Term {
		return t.Term < other.Term
	}
	return t.Position < other.Position
}

// Max returns the higher of two tokens of the same group.
func (t Token) Max(other Token) Token {
	if t.Less(other) {
		return other
	}
	return t
}

// Covers reports whether a database with the status holds all data up to the
// floor.
//
// A replica must have reached the floor's position even if its term is higher,
// because it adopts the new term before it has applied the rest of the old log.
// The primary of the floor's term or a higher one holds every acknowledged
// position. A detached database never qualifies, because its log may end in
// entries that the group has discarded.
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
