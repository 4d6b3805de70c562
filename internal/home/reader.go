package home

import (
	"bytes"
	"encoding/binary"
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
	// buf[from:at] is to be relayed, buf[at:end] is unread.
	from, at, end int
	// skip is the number of bytes of a large message that are still to be
	// relayed before the next header.
	skip int

	// answer is the one being read while open is set.
	answer answer
	open   bool
	sink   sink
	// final is set from the first completed command of the batch on.
	final  bool
	status dbconn.Status
	rows   int
}

func (r *reader) loop() error {
	for {
		if err := r.parse(); err != nil {
			return err
		}
		if err := r.flush(); err != nil {
			return err
		}
		if r.at > 0 {
			r.end = copy(r.buf, r.buf[r.at:r.end])
			r.from, r.at = 0, 0
		}
		n, err := r.c.nc.Read(r.buf[r.end:])
		if n > 0 {
			r.c.heardAt.Store(time.Now().UnixNano())
		}
		r.end += n
		if err != nil {
			return errors.Wrap(err, "read from backend server")
		}
	}
}

// parse consumes the complete messages in the buffer.
func (r *reader) parse() error {
	for {
		if r.skip > 0 {
			n := min(r.skip, r.end-r.at)
			r.at += n
			r.skip -= n
			if r.skip > 0 {
				return nil
			}
		}
		if r.end-r.at < headerSize {
			return nil
		}
		kind := r.buf[r.at]
		length := binary.BigEndian.Uint32(r.buf[r.at+1:])
		if length < headerSize-1 || length > 1<<30 {
			return errors.Errorf("backend message %q has length %d", kind, length)
		}
		size := int(length) + 1
		if !r.open {
			r.begin()
		}
		if r.open && r.sink == nil && r.answer.kind == answerBatch {
			return errors.New("answer without receiver")
		}
		if r.passes(kind) {
			r.skip = size
			continue
		}
		if size > r.end-r.at {
			return r.grow(size)
		}
		if err := r.inspect(kind, r.buf[r.at+headerSize:r.at+size], size); err != nil {
			return err
		}
	}
}

// grow makes room for a message that has to be decoded whole.
func (r *reader) grow(size int) error {
	if size > maxInspected {
		return errors.Errorf("backend message of %d bytes where a short one was expected", size)
	}
	if size > len(r.buf) {
		bigger := make([]byte, size)
		copy(bigger, r.buf[:r.end])
		r.buf = bigger
	}
	return nil
}

// begin looks up what the next message answers.
func (r *reader) begin() {
	r.answer, r.sink, r.open = r.c.current()
	r.final, r.rows = false, 0
}

// errNoReceiver reports the answer to a batch whose stream has ended.
var errNoReceiver = errors.New("answer without receiver")

// passes reports whether a message is relayed without being looked at.
func (r *reader) passes(kind byte) bool {
	if !r.open || r.answer.kind != answerBatch {
		return false
	}
	switch kind {
	case msgCommandComplete, msgEmptyQuery, msgSuspended, msgError, msgReady, msgCopyInResponse:
		return false
	case msgParseComplete:
		return r.answer.parsed >= len(r.answer.parsing)
	case msgCloseComplete:
		return r.answer.closing == 0
	default:
		return true
	}
}

// inspect handles one whole message. It consumes it.
func (r *reader) inspect(kind byte, body []byte, size int) error {
	// An answer can arrive after its stream was given up and before the
	// connection is closed.
	if r.open && r.answer.kind == answerBatch && r.sink == nil {
		return errNoReceiver
	}
	if kind == msgError {
		return r.inspectError(body, size)
	}
	if !r.open {
		return r.idle(kind, size)
	}
	if kind == msgReady {
		return r.ready(body, size)
	}
	if r.answer.kind != answerBatch {
		return r.own(kind, body, size)
	}
	switch kind {
	case msgParseComplete:
		r.answer.parsed++
		return r.swallow(size)
	case msgCloseComplete:
		r.answer.closing--
		return r.swallow(size)
	case msgCopyInResponse:
		r.at += size
		if err := r.flush(); err != nil {
			return err
		}
		r.sink.copyIn()
		return nil
	case msgCommandComplete:
		if err := r.completed(); err != nil {
			return err
		}
		tag := bytes.TrimRight(body, "\x00")
		r.tag(tag)
		r.sink.commandTag(tag)
	case msgEmptyQuery, msgSuspended:
		if err := r.completed(); err != nil {
			return err
		}
	}
	r.at += size
	return nil
}

// completed relays what came before the first completed command.
func (r *reader) completed() error {
	if r.final {
		return nil
	}
	if err := r.flush(); err != nil {
		return err
	}
	r.final = true
	return nil
}

// tag keeps the record of prepared statements true. A PREPARE of the caller's
// could reuse the name of a shared statement, and DEALLOCATE names one that is
// not known here, so that such a connection serves no other stream.
func (r *reader) tag(tag []byte) {
	switch string(tag) {
	case "PREPARE", "DEALLOCATE", "DEALLOCATE ALL", "DISCARD ALL":
		r.c.markRetired()
	}
}

// idle handles a message that no request caused.
func (r *reader) idle(kind byte, size int) error {
	switch kind {
	case msgNotice, msgParameter, msgNotification:
		return r.swallow(size)
	default:
		return errors.Errorf("backend message %q while idle", kind)
	}
}

// own handles a message that answers a query of the home host's own.
func (r *reader) own(kind byte, body []byte, size int) error {
	if kind == msgDataRow && (r.answer.kind == answerStatus || r.answer.kind == answerPosition) {
		row, err := decodeRow(body)
		if err != nil {
			return err
		}
		if r.status, err = dbconn.ParseStatus(row); err != nil {
			return err
		}
		r.rows++
	}
	return r.swallow(size)
}

// serverError is a FATAL error of the backend server, or one that answered a
// query of the home host's own. Either makes the connection unusable.
type serverError struct{ code, message string }

func (e *serverError) Error() string { return "backend server: " + e.message + " (" + e.code + ")" }

func (r *reader) inspectError(body []byte, size int) error {
	var m pgproto3.ErrorResponse
	if err := m.Decode(body); err != nil {
		return errors.Wrap(err, "decode error")
	}
	severity := m.SeverityUnlocalized
	if severity == "" {
		severity = m.Severity
	}
	if severity == "FATAL" || severity == "PANIC" || !r.open || r.answer.kind != answerBatch {
		return &serverError{code: m.Code, message: m.Message}
	}
	if r.sink.serverError(&m) {
		return r.swallow(size)
	}
	r.at += size
	return nil
}

// ready ends an answer.
func (r *reader) ready(body []byte, size int) error {
	if len(body) != 1 {
		return errors.New("malformed ReadyForQuery")
	}
	txStatus := body[0]
	if err := r.swallow(size); err != nil {
		return err
	}
	a, s := r.answer, r.sink
	r.open = false
	c := r.c
	c.mu.Lock()
	c.owed = c.owed[1:]
	if len(c.owed) == 0 {
		c.owed = nil
	}
	// A Close that was skipped after an error leaves a statement of which
	// there is no record any more.
	c.retire = c.retire || a.closing > 0
	c.mu.Unlock()
	switch a.kind {
	case answerStatus, answerPosition:
		if r.rows != 1 {
			return errors.Errorf("status query returned %d rows", r.rows)
		}
		switch {
		case s == nil:
		case a.kind == answerStatus:
			return s.statusRow(r.status)
		default:
			s.position(r.status)
		}
	case answerPing:
		if s != nil {
			s.pong()
		}
	case answerReset:
		c.owner.clean(c)
	case answerBatch:
		c.statements.forget(a.parsing[a.parsed:])
		s.ready(txStatus)
	}
	return nil
}

// swallow drops the message at the read position.
func (r *reader) swallow(size int) error {
	if err := r.flush(); err != nil {
		return err
	}
	r.at += size
	r.from = r.at
	return nil
}

// flush relays the messages up to the read position.
func (r *reader) flush() error {
	if r.from == r.at {
		return nil
	}
	chunk := r.buf[r.from:r.at]
	r.from = r.at
	if r.sink == nil {
		return errNoReceiver
	}
	return r.sink.relay(chunk, r.final)
}

// decodeRow splits the body of a DataRow in text format.
func decodeRow(body []byte) ([][]byte, error) {
	var m pgproto3.DataRow
	if err := m.Decode(body); err != nil {
		return nil, errors.Wrap(err, "decode row")
	}
	return m.Values, nil
}
