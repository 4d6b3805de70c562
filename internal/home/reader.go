package home

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
)

// reader splits the byte stream of a connection into messages. Messages that
// are only relayed are neither copied nor decoded.
type reader struct {
	c   *conn
	buf []byte
	// buf[relayFrom:readPos] is to be relayed, buf[readPos:end] is not parsed
	// yet.
	relayFrom, readPos, end int
	// relayRemaining is the number of bytes between readPos and the end of the
	// current pass-through message. Some of them may not have been received yet.
	relayRemaining int

	// answer is the answer being read. It is valid while inAnswer is set.
	answer   expectedAnswer
	inAnswer bool
	sink     sink
	// commandCompleted is set from the first completed command of the batch.
	commandCompleted bool
	// counts holds the messages of the answer to a batch.
	counts messageCounts
	// internalSeen is the part of the answer to a request of the home host itself that was
	// read, in the form of internalAnswers.
	internalSeen []byte
	status       dbconn.Status
}

func (r *reader) loop() error {
	for {
		if err := r.parse(); err != nil {
			return err
		}
		if err := r.flush(); err != nil {
			return err
		}
		if r.readPos > 0 {
			r.end = copy(r.buf, r.buf[r.readPos:r.end])
			r.relayFrom, r.readPos = 0, 0
		}
		n, err := r.c.nc.Read(r.buf[r.end:])
		if n > 0 {
			r.c.lastReadAt.Store(time.Now().UnixNano())
		}
		r.end += n
		if err != nil {
			return errors.Wrap(err, "read from backend server")
		}
	}
}

// parse processes the complete messages in the buffer.
func (r *reader) parse() error {
	for {
		if r.relayRemaining > 0 {
			n := min(r.relayRemaining, r.end-r.readPos)
			r.readPos += n
			r.relayRemaining -= n
			if r.relayRemaining > 0 {
				return nil
			}
		}
		if r.end-r.readPos < headerSize {
			return nil
		}
		kind := r.buf[r.readPos]
		length := binary.BigEndian.Uint32(r.buf[r.readPos+1:])
		if length < headerSize-1 || length > 1<<30 {
			return errors.Errorf("backend message %q has invalid length %d", kind, length)
		}
		size := int(length) + 1
		if !r.inAnswer {
			r.beginAnswer()
		}
		if r.inAnswer && r.sink == nil && r.answer.kind == answerBatch {
			return errors.New("answer to a batch without a stream")
		}
		if r.isPassThrough(kind) {
			r.counts.add(kind)
			r.relayRemaining = size
			continue
		}
		if size > r.end-r.readPos {
			return r.growBuffer(size)
		}
		if err := r.inspect(kind, r.buf[r.readPos+headerSize:r.readPos+size], size); err != nil {
			return err
		}
	}
}

// growBuffer enlarges the buffer to hold a message that has to be decoded as a
// whole.
func (r *reader) growBuffer(size int) error {
	if size > maxDecodedMessage {
		return errors.Errorf("backend message of %d bytes exceeds the limit for decoded messages", size)
	}
	if size > len(r.buf) {
		bigger := make([]byte, size)
		copy(bigger, r.buf[:r.end])
		r.buf = bigger
	}
	return nil
}

// beginAnswer determines which expected answer the next message belongs to.
func (r *reader) beginAnswer() {
	r.answer, r.sink, r.inAnswer = r.c.currentAnswer()
	r.commandCompleted, r.internalSeen = false, r.internalSeen[:0]
	if r.answer.kind == answerBatch {
		r.counts = messageCounts{}
	}
}

// errNoStream is returned for an answer to a batch whose stream has ended.
var errNoStream = errors.New("answer to a batch without a stream")

// isPassThrough reports whether a message is relayed without inspection.
func (r *reader) isPassThrough(kind byte) bool {
	if !r.inAnswer || r.answer.kind != answerBatch {
		return false
	}
	switch kind {
	case msgCommandComplete, msgEmptyQuery, msgPortalSuspended, msgError, msgReady, msgCopyInResponse, msgRowDescription:
		return false
	case msgParseComplete:
		return r.answer.parsed >= len(r.answer.parsing)
	case msgCloseComplete:
		return r.answer.outstandingCloses == 0
	default:
		return true
	}
}

// inspect handles and consumes one complete message.
func (r *reader) inspect(kind byte, body []byte, size int) error {
	// An answer can arrive after its stream was abandoned and before the
	// connection is closed.
	if r.inAnswer && r.answer.kind == answerBatch && r.sink == nil {
		return errNoStream
	}
	r.counts.add(kind)
	if kind == msgError {
		return r.inspectError(body, size)
	}
	if !r.inAnswer {
		return r.handleUnsolicited(kind, size)
	}
	if kind == msgReady {
		return r.finishAnswer(body, size)
	}
	if r.answer.kind != answerBatch {
		return r.handleInternalAnswer(kind, body, size)
	}
	switch kind {
	case msgRowDescription:
		if isCallAnswer(body) {
			return misplaced("the answer to a call of the contract follows a client's request")
		}
	case msgParseComplete:
		r.answer.parsed++
		return r.discard(size)
	case msgCloseComplete:
		r.answer.outstandingCloses--
		return r.discard(size)
	case msgCopyInResponse:
		r.readPos += size
		if err := r.flush(); err != nil {
			return err
		}
		r.sink.handleCopyIn()
		return nil
	case msgCommandComplete:
		if err := r.relayBeforeCompletion(); err != nil {
			return err
		}
		tag := bytes.TrimRight(body, "\x00")
		r.retireOnCommandTag(tag)
		if err := r.sink.handleCommandTag(tag, int(r.counts.completions())-1); err != nil {
			return err
		}
	case msgEmptyQuery, msgPortalSuspended:
		if err := r.relayBeforeCompletion(); err != nil {
			return err
		}
	}
	r.readPos += size
	return nil
}

// relayBeforeCompletion relays the messages before the first completed command,
// and then sets commandCompleted.
func (r *reader) relayBeforeCompletion() error {
	if r.commandCompleted {
		return nil
	}
	if err := r.flush(); err != nil {
		return err
	}
	r.commandCompleted = true
	return nil
}

// retireOnCommandTag retires a connection whose prepared statements may differ
// from the statement cache. PREPARE can reuse the name of a shared statement,
// and the tag of DEALLOCATE does not say which statement was dropped.
func (r *reader) retireOnCommandTag(tag []byte) {
	switch string(tag) {
	case "PREPARE", "DEALLOCATE", "DEALLOCATE ALL", "DISCARD ALL":
		r.c.markRetired()
	}
}

// handleUnsolicited handles a message that is not part of an answer.
func (r *reader) handleUnsolicited(kind byte, size int) error {
	if isAsynchronous(kind) {
		return r.discard(size)
	}
	return misplaced(fmt.Sprintf("unsolicited message %q", kind))
}

// handleInternalAnswer handles a message in the answer to an internal query of
// the home host.
func (r *reader) handleInternalAnswer(kind byte, body []byte, size int) error {
	if isAsynchronous(kind) {
		return r.discard(size)
	}
	if err := r.checkInternal(kind, body); err != nil {
		return err
	}
	if kind == msgDataRow && (r.answer.kind == answerStatus || r.answer.kind == answerPosition) {
		row, err := decodeRow(body)
		if err != nil {
			return err
		}
		if r.status, err = dbconn.ParseStatus(r.answer.mark, row); errors.Is(err, dbconn.ErrForeignAnswer) {
			return misplaced("the status has another mark")
		} else if err != nil {
			return err
		}
	}
	return r.discard(size)
}

// serverError is a FATAL or PANIC error of the backend server, or an error
// outside the answer to a batch. Either makes the connection unusable.
type serverError struct{ code, message string }

func (e *serverError) Error() string { return "backend server: " + e.message + " (" + e.code + ")" }

func (r *reader) inspectError(body []byte, size int) error {
	var m pgproto3.ErrorResponse
	if err := m.Decode(body); err != nil {
		return errors.Wrap(err, "decode ErrorResponse")
	}
	severity := m.SeverityUnlocalized
	if severity == "" {
		severity = m.Severity
	}
	if severity == "FATAL" || severity == "PANIC" || !r.inAnswer || r.answer.kind != answerBatch {
		return &serverError{code: m.Code, message: m.Message}
	}
	if r.sink.handleServerError(&m) {
		return r.discard(size)
	}
	r.readPos += size
	return nil
}

// finishAnswer completes an answer at its ReadyForQuery.
func (r *reader) finishAnswer(body []byte, size int) error {
	if len(body) != 1 {
		return errors.New("malformed ReadyForQuery")
	}
	txStatus := body[0]
	if err := r.discard(size); err != nil {
		return err
	}
	a, s := r.answer, r.sink
	if a.kind != answerBatch {
		if err := r.checkInternalEnd(txStatus); err != nil {
			return err
		}
	}
	r.inAnswer = false
	c := r.c
	c.mu.Lock()
	c.expectedAnswers = c.expectedAnswers[1:]
	if len(c.expectedAnswers) == 0 {
		c.expectedAnswers = nil
	}
	// The server skips a Close after an error, so the connection keeps a
	// statement that the statement cache no longer tracks.
	c.retired = c.retired || a.outstandingCloses > 0
	c.mu.Unlock()
	switch a.kind {
	case answerStatus, answerPosition:
		switch {
		case s == nil:
		case a.kind == answerStatus:
			return s.handleStatusRow(r.status)
		default:
			s.handleCommitPosition(r.status)
		}
	case answerPing:
		if s != nil {
			s.handlePong()
		}
	case answerReset:
		c.owner.handleResetDone(c)
	case answerBatch:
		c.statements.remove(a.parsing[a.parsed:])
		return s.handleReady(txStatus, &r.counts)
	}
	return nil
}

// discard consumes the message at the read position without relaying it.
func (r *reader) discard(size int) error {
	if err := r.flush(); err != nil {
		return err
	}
	r.readPos += size
	r.relayFrom = r.readPos
	return nil
}

// flush relays the messages up to the read position.
func (r *reader) flush() error {
	if r.relayFrom == r.readPos {
		return nil
	}
	chunk := r.buf[r.relayFrom:r.readPos]
	r.relayFrom = r.readPos
	if r.sink == nil {
		return errNoStream
	}
	return r.sink.relay(chunk, r.commandCompleted)
}

// decodeRow returns the values of a DataRow in text format.
func decodeRow(body []byte) ([][]byte, error) {
	var m pgproto3.DataRow
	if err := m.Decode(body); err != nil {
		return nil, errors.Wrap(err, "decode DataRow")
	}
	return m.Values, nil
}
