package home

import (
	"bytes"
	"fmt"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
)

// msgRowDescription describes the columns of the rows that follow.
const msgRowDescription = 'T'

// misplacedError closes a connection whose server sent a message that cannot belong to
// the outstanding request. From then on no answer on the connection can be matched to
// its request.
type misplacedError struct {
	reason string
	// requestID is the ID of the request that received the message, or 0.
	requestID uint64
}

func (e *misplacedError) Error() string { return "misplaced answer: " + e.reason }

func misplaced(reason string) error { return &misplacedError{reason: reason} }

// asMisplaced returns the misplacedError that err wraps, or nil.
func asMisplaced(err error) *misplacedError {
	if e := (*misplacedError)(nil); errors.As(err, &e) {
		return e
	}
	return nil
}

// isCallAnswer reports whether a RowDescription belongs to the answer to a call of the
// contract.
func isCallAnswer(rowDescription []byte) bool {
	const fieldCount = 2 // bytes before the first name
	return len(rowDescription) > fieldCount && bytes.HasPrefix(rowDescription[fieldCount:], markColumnBytes)
}

var markColumnBytes = []byte(dbconn.MarkColumn + "\x00")

// internalAnswers holds the answers to the requests of the home host itself: the type of
// each message before ReadyForQuery, and after a CommandComplete its tag and a semicolon.
// Messages that the server may send at any time are left out.
var internalAnswers = map[answerKind]string{
	answerDiscard:  "CSET;",
	answerStatus:   "TDCSELECT 1;",
	answerPosition: "TDCSELECT 1;",
	answerPing:     "",
	answerReset:    "CRESET;CCLOSE CURSOR ALL;CUNLISTEN;CDISCARD TEMP;CDISCARD SEQUENCES;TDCSELECT 1;",
}

// checkInternal records a message in the answer to a request of the home host itself. It
// returns an error if the message cannot be part of that answer.
func (r *reader) checkInternal(kind byte, body []byte) error {
	r.internalSeen = append(r.internalSeen, kind)
	if kind == msgCommandComplete {
		r.internalSeen = append(append(r.internalSeen, bytes.TrimRight(body, "\x00")...), ';')
	}
	want := internalAnswers[r.answer.kind]
	if len(r.internalSeen) > len(want) || string(r.internalSeen) != want[:len(r.internalSeen)] {
		return misplaced(fmt.Sprintf("message %q in the answer to an internal request of kind %d", kind, r.answer.kind))
	}
	return nil
}

// checkInternalEnd checks the ReadyForQuery of the answer to a request of the home host
// itself. All of them are sent outside a transaction.
func (r *reader) checkInternalEnd(txStatus byte) error {
	if len(r.internalSeen) != len(internalAnswers[r.answer.kind]) || txStatus != txStatusIdle {
		return misplaced(fmt.Sprintf("early end of the answer to an internal request of kind %d", r.answer.kind))
	}
	return nil
}

// isAsynchronous reports whether the server may send messages of the type at any time.
func isAsynchronous(kind byte) bool {
	return kind == msgNotice || kind == msgParameterStatus || kind == msgNotification
}
