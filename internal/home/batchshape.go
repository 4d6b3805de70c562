package home

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// Types of messages that only the shape of a batch depends on.
const (
	msgParse         = 'P'
	msgBind          = 'B'
	msgDescribe      = 'D'
	msgExecute       = 'E'
	msgClose         = 'C'
	msgBindComplete  = '2'
	msgNoData        = 'n'
	msgFunctionReply = 'V'
)

// Transaction statuses other than txStatusIdle.
const (
	txStatusOpen   = 'T'
	txStatusFailed = 'E'
)

// messageCounts holds the number of messages of each type.
type messageCounts [128]uint32

func (c *messageCounts) add(kind byte) {
	if int(kind) < len(c) {
		c[kind]++
	}
}

// completions returns the number of statements that have ended without an error.
func (c *messageCounts) completions() uint32 {
	return c[msgCommandComplete] + c[msgEmptyQuery] + c[msgPortalSuspended]
}

// batchShape is what the messages of a batch tell about its answer.
type batchShape struct {
	sent  messageCounts
	ended bool
	// words holds the first word of the statement of each Execute, or of the first statement
	// of a Query. A word that is not known is empty.
	words []string
}

// statementWords holds the first words of the statements of a stream, by the name of the
// prepared statement or portal.
type statementWords struct{ statements, portals map[string]string }

func newStatementWords() statementWords {
	return statementWords{statements: map[string]string{}, portals: map[string]string{}}
}

func (w statementWords) addPrepared(statements []*peerpb.Prepared) {
	for _, s := range statements {
		w.statements[s.Name] = firstWord([]byte(s.Query))
	}
}

// add records complete frontend messages of the batch.
func (s *batchShape) add(messages []byte, w statementWords) {
	for len(messages) >= headerSize {
		kind, size := messages[0], 1+int(binary.BigEndian.Uint32(messages[1:]))
		body := messages[headerSize:size]
		messages = messages[size:]
		s.sent.add(kind)
		switch kind {
		case msgQuery:
			s.ended, s.words = true, append(s.words, firstWord(body))
		case msgSync, msgFunctionCall:
			s.ended = true
		case msgParse:
			name, text := cutString(body)
			w.statements[name] = firstWord(text)
		case msgBind:
			portal, rest := cutString(body)
			name, _ := cutString(rest)
			w.portals[portal] = w.statements[name]
		case msgExecute:
			portal, _ := cutString(body)
			s.words = append(s.words, w.portals[portal])
		}
	}
}

// cutString returns the text before the first zero byte, and the bytes after it.
func cutString(b []byte) (string, []byte) {
	text, rest, _ := bytes.Cut(b, []byte{0})
	return string(text), rest
}

// firstWord returns the first word of a statement in upper case. It is empty if the statement
// begins with something else, such as a comment.
func firstWord(text []byte) string {
	text = bytes.TrimLeft(text, " \t\r\n")
	n := 0
	for n < len(text) && (text[n]|0x20 >= 'a' && text[n]|0x20 <= 'z' || text[n] == '_') {
		n++
	}
	return strings.ToUpper(string(text[:n]))
}

// tagWords maps the first word of a statement to the possible first words of its command tag.
// The tags of other statements are not checked.
var tagWords = map[string][]string{
	"SELECT": {"SELECT"}, "VALUES": {"SELECT"}, "TABLE": {"SELECT"},
	"INSERT": {"INSERT"}, "UPDATE": {"UPDATE"}, "DELETE": {"DELETE"}, "MERGE": {"MERGE"},
	"BEGIN": {"BEGIN"}, "START": {"START", "BEGIN"},
	"COMMIT": {"COMMIT", "ROLLBACK"}, "END": {"COMMIT", "ROLLBACK"},
	"ROLLBACK": {"ROLLBACK"}, "ABORT": {"ROLLBACK"},
	"SAVEPOINT": {"SAVEPOINT"}, "RELEASE": {"RELEASE"},
	"SET": {"SET"}, "RESET": {"RESET"}, "SHOW": {"SHOW"},
	"FETCH": {"FETCH"}, "MOVE": {"MOVE"}, "COPY": {"COPY"}, "LOCK": {"LOCK"}, "TRUNCATE": {"TRUNCATE"},
}

// checkTag checks the tag of the completion with the given index, counted from 0. The
// statements of a Query after its first one are not checked.
func (s *batchShape) checkTag(tag []byte, index int, txStatus byte) error {
	if index >= len(s.words) || s.sent[msgQuery] > 0 && index > 0 {
		return nil
	}
	word, got := s.words[index], firstWord(tag)
	allowed, known := tagWords[word]
	for i, a := range allowed {
		// Only a failed transaction is rolled back by COMMIT.
		if a == got && (i == 0 || a != "ROLLBACK" || txStatus != txStatusOpen) {
			return nil
		}
	}
	if !known {
		return nil
	}
	return misplaced(fmt.Sprintf("tag %.20q for a statement that starts with %s", tag, word))
}

// checkEnd checks the answer at its ReadyForQuery. got counts the messages of the answer.
func (s *batchShape) checkEnd(got *messageCounts) error {
	if !s.ended {
		return misplaced("the answer ends before the request")
	}
	if s.sent[msgQuery]+s.sent[msgFunctionCall] > 0 {
		if got.completions()+got[msgFunctionReply]+got[msgError] == 0 {
			return misplaced("the answer to a query has no result")
		}
		return nil
	}
	for _, part := range []struct {
		name      string
		sent, got uint32
	}{
		{"Parse", s.sent[msgParse], got[msgParseComplete]},
		{"Bind", s.sent[msgBind], got[msgBindComplete]},
		{"Describe", s.sent[msgDescribe], got[msgRowDescription] + got[msgNoData]},
		{"Execute", s.sent[msgExecute], got.completions()},
		{"Close", s.sent[msgClose], got[msgCloseComplete]},
	} {
		if part.got > part.sent || part.got < part.sent && got[msgError] == 0 {
			return misplaced(fmt.Sprintf("%d answers to %d messages of type %s", part.got, part.sent, part.name))
		}
	}
	return nil
}

// txTags holds which kinds of commands a batch has completed.
type txTags struct{ began, ended bool }

func (t *txTags) add(tag []byte) {
	switch firstWord(tag) {
	case "BEGIN", "START":
		t.began = true
	case "COMMIT", "ROLLBACK", "PREPARE":
		t.ended = true
	}
}

// canFollow reports whether a batch with these commands can lead from one transaction status
// to another. failed is set if the batch was answered with an error.
func (t txTags) canFollow(from, to byte, failed bool) bool {
	switch to {
	case txStatusIdle:
		return from == txStatusIdle || t.ended || failed
	case txStatusOpen:
		return !failed && (from == txStatusOpen || t.began || from == txStatusFailed && t.ended)
	case txStatusFailed:
		return from == txStatusFailed || failed && (from == txStatusOpen || t.began)
	default:
		return false
	}
}
