package home

import (
	"bytes"

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
