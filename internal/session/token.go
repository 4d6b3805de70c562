package session

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// Token is a causality token: a position in the log of one group. The zero
// value stands for no token.
type Token struct {
	Group    string
	Term     uint64
	Position uint64
}

// ParseToken reads the form group:term:position.
func ParseToken(s string) (Token, error) {
	fail := errors.Errorf("invalid causality token, want group:term:position")
	rest, position, ok := cutLast(s)
	if !ok {
		return Token{}, fail
	}
	group, term, ok := cutLast(rest)
	if !ok || group == "" {
		return Token{}, fail
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Token{}, fail
	}
	p, err := strconv.ParseUint(position, 10, 64)
	if err != nil {
		return Token{}, fail
	}
	return Token{Group: group, Term: t, Position: p}, nil
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, ':')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// String returns the form that ParseToken reads.
func (t Token) String() string { return fmt.Sprintf("%s:%d:%d", t.Group, t.Term, t.Position) }

// IsZero reports whether t stands for no token.
func (t Token) IsZero() bool { return t.Group == "" }

// Before reports whether t precedes u. Tokens are ordered by term, then by
// position.
func (t Token) Before(u Token) bool {
	if t.Term != u.Term {
		return t.Term < u.Term
	}
	return t.Position < u.Position
}

// Proto returns the message form, nil for no token.
func (t Token) Proto() *peerpb.Token {
	if t.IsZero() {
		return nil
	}
	return &peerpb.Token{Group: t.Group, Term: t.Term, Position: t.Position}
}

// TokenFrom converts the message form.
func TokenFrom(p *peerpb.Token) Token {
	if p == nil {
		return Token{}
	}
	return Token{Group: p.Group, Term: p.Term, Position: p.Position}
}
