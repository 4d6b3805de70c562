package session

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// Token is a causality token: a log position of one group. The zero value means
// no token.
type Token struct {
	Group    string
	Term     uint64
	Position uint64
}

// ParseToken parses a token of the form group:term:position.
func ParseToken(s string) (Token, error) {
	errFormat := errors.Errorf("invalid causality token, expected group:term:position")
	rest, position, ok := cutAtLastColon(s)
	if !ok {
		return Token{}, errFormat
	}
	group, term, ok := cutAtLastColon(rest)
	if !ok || group == "" {
		return Token{}, errFormat
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Token{}, errFormat
	}
	p, err := strconv.ParseUint(position, 10, 64)
	if err != nil {
		return Token{}, errFormat
	}
	return Token{Group: group, Term: t, Position: p}, nil
}

func cutAtLastColon(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, ':')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// String formats t in the form that ParseToken accepts.
func (t Token) String() string { return fmt.Sprintf("%s:%d:%d", t.Group, t.Term, t.Position) }

// IsZero reports whether t is the zero value, which means no token.
func (t Token) IsZero() bool { return t.Group == "" }

// Before reports whether t precedes u. Tokens are ordered by term, then by
// position.
func (t Token) Before(u Token) bool {
	if t.Term != u.Term {
		return t.Term < u.Term
	}
	return t.Position < u.Position
}

// Proto converts t to its protobuf message. It returns nil for the zero value.
func (t Token) Proto() *peerpb.Token {
	if t.IsZero() {
		return nil
	}
	return &peerpb.Token{Group: t.Group, Term: t.Term, Position: t.Position}
}

// TokenFromProto converts a protobuf message to a token. It returns the zero value
// for nil.
func TokenFromProto(p *peerpb.Token) Token {
	if p == nil {
		return Token{}
	}
	return Token{Group: p.Group, Term: p.Term, Position: p.Position}
}
