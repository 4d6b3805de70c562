package home

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/backend"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// resetQuery clears what a session may have left on a connection. It is not
// DISCARD ALL, which would drop the shared prepared statements (design, section 10).
const resetQuery = "RESET ALL; CLOSE ALL; UNLISTEN *; DISCARD TEMP; DISCARD SEQUENCES; SELECT pg_advisory_unlock_all()"

// readOnlyQuery makes a write of a read intent fail at the backend server.
const readOnlyQuery = "SET default_transaction_read_only = on"

const (
	// readBuffer is the size of a connection's read buffer and so of the
	// largest chunk sent to the entry host.
	readBuffer = 32 << 10
	// maxInspected bounds the messages that are decoded, such as errors.
	maxInspected = 1 << 20
)

// Types of backend messages that the home host distinguishes.
const (
	msgCommandComplete = 'C'
	msgEmptyQuery      = 'I'
	msgSuspended       = 's'
	msgError           = 'E'
	msgReady           = 'Z'
	msgDataRow         = 'D'
	msgParseComplete   = '1'
	msgCloseComplete   = '3'
	msgCopyInResponse  = 'G'
	msgNotice          = 'N'
	msgParameter       = 'S'
	msgNotification    = 'A'
)

// sqlStateAdminShutdown is the error of a connection that evict closed.
const sqlStateAdminShutdown = "57P01"

// answerKind says what becomes of an answer of the backend server.
type answerKind uint8

const (
	// answerDiscard is the answer to a query of the home host's own.
	answerDiscard answerKind = iota
	// answerStatus is the answer to the status query ahead of a read.
	answerStatus
	// answerPosition is the answer to the status query after a commit.
	answerPosition
	// answerBatch is the answer to a batch of the entry host.
	answerBatch
	// answerReset is the answer to the reset query. The connection is idle after it.
	answerReset
	// answerPing is the answer to a Sync that only asks for a sign of life.
	answerPing
)

// answer is an answer that the backend server owes, up to ReadyForQuery.
type answer struct {
	kind answerKind
	// parsing lists the statements whose ParseComplete is not for the entry host.
	parsing []*peerpb.Prepared
	parsed  int
	// closing counts the CloseComplete messages that are not for the entry host.
	closing int
	sentAt  time.Time
}

// sink receives the answers of a connection. Its methods are called by the
// connection's reader goroutine.
type sink interface {
	// relay passes a chunk of backend messages on. The chunk is only valid
	// during the call. final is set from the first completed command on. An
	// error makes the reader close the connection.
	relay(chunk []byte, final bool) error
	// statusRow reports the answer to the status query ahead of a read.
	statusRow(dbconn.Status) error
	// position reports the answer to the status query after a commit.
	position(dbconn.Status)
	// commandTag reports a completed command.
	commandTag(tag []byte)
	// serverError reports an error that is about to be relayed and says
	// whether it is withheld from the entry host.
	serverError(*pgproto3.ErrorResponse) (withhold bool)
	// copyIn reports that the backend server accepts copy data.
	copyIn()
	// pong reports the answer to a ping.
	pong()
	// ready reports the end of a batch's answer.
	ready(txStatus byte)
	// broken reports that the connection is unusable. It is called once.
	broken(error)
}

// owner is told about the life of a connection by its reader goroutine.
type owner interface {
	// clean reports that the reset is done.
	clean(*conn)
	// ended reports the end. confirmed says that the backend server closed the
	// connection; otherwise it may still count it as open.
	ended(c *conn, err error, confirmed bool)
}

// conn is one data connection to a backend server. One goroutine reads it for
// as long as it is open, so that its end is noticed while it is idle.
type conn struct {
	id     backend.ConnID
	nc     net.Conn
	pid    uint32
	secret []byte
	owner  owner

	mu   sync.Mutex
	owed []answer
	sink sink
	// ending is set once the connection is being closed.
	ending bool
	// ended is set once the reader goroutine has left the connection.
	ended bool
	// retire is set when the connection must not serve another stream.
	retire bool

	reported   sync.Once
	statements *statements
	heardAt    atomic.Int64
	// resetFor is the request after which the connection is being reset, 0 none.
	resetFor atomic.Uint64
}

func newConn(id backend.ConnID, raw *pgconn.HijackedConn, o owner) *conn {
	c := &conn{id: id, nc: raw.Conn, pid: raw.PID, secret: raw.SecretKey, owner: o, statements: newStatements()}
	c.heardAt.Store(time.Now().UnixNano())
	return c
}

// attach makes s the receiver of the answers to come, nil none. It returns false
// if the connection has ended.
func (c *conn) attach(s sink) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sink = s
	return !c.ended
}

// expect announces answers. It is called before the bytes that cause them are
// written, because an answer may arrive before the write returns.
func (c *conn) expect(a ...answer) {
	now := time.Now()
	c.mu.Lock()
	for i := range a {
		a[i].sentAt = now
	}
	c.owed = append(c.owed, a...)
	c.mu.Unlock()
}

// write sends bytes, for at most until the deadline.
func (c *conn) write(b []byte, deadline time.Time) error {
	_, err := c.writeSome(b, deadline)
	return err
}

// writeSome is write that also returns the number of bytes that may have been sent.
func (c *conn) writeSome(b []byte, deadline time.Time) (int, error) {
	if err := c.nc.SetWriteDeadline(deadline); err != nil {
		return 0, errors.Wrap(err, "set write deadline")
	}
	n, err := c.nc.Write(b)
	return n, errors.Wrap(err, "write to backend server")
}

// lingerTimeout bounds the wait for the backend server to close its end.
const lingerTimeout = time.Second

// end closes the connection. It asks the backend server to end the session and
// leaves the socket open for up to lingerTimeout, because the server counts the
// connection against its limit until it has closed it itself. The reader
// goroutine reports the end. It returns false if the connection was ending
// already.
func (c *conn) end() bool {
	c.mu.Lock()
	was := c.ending
	c.ending = true
	c.mu.Unlock()
	if was {
		return false
	}
	now := time.Now()
	time.AfterFunc(lingerTimeout, func() {
		_ = c.nc.Close()
		// The reader goroutine may be busy with a send to a slow entry host.
		c.report(errLingered, false)
	})
	if err := c.write(terminateBytes, now.Add(terminateTimeout)); err == nil {
		if t, ok := c.nc.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}
	return true
}

// terminateTimeout bounds the write of Terminate, which a full socket buffer
// can block.
const terminateTimeout = 10 * time.Millisecond

// terminateBytes is the encoded Terminate message.
var terminateBytes = encode(nil, &pgproto3.Terminate{})

// usable reports whether the connection may serve another stream.
func (c *conn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ending && !c.retire
}

// idle reports whether no stream uses the connection.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sink == nil
}

// quietFor returns the time since the backend server last sent something.
func (c *conn) quietFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.heardAt.Load()))
}

// ping asks for a sign of life.
func (c *conn) ping(deadline time.Time) error {
	c.expect(answer{kind: answerPing})
	return c.write(syncBytes, deadline)
}

// syncBytes is the encoded Sync message.
var syncBytes = encode(nil, &pgproto3.Sync{})

// markRetired keeps the connection from serving another stream.
func (c *conn) markRetired() {
	c.mu.Lock()
	c.retire = true
	c.mu.Unlock()
}

// current returns the answer being read and its receiver.
func (c *conn) current() (a answer, s sink, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.owed) == 0 {
		return answer{}, c.sink, false
	}
	return c.owed[0], c.sink, true
}

// silentSince returns the time since which the backend server owes an answer
// and has sent nothing, or false when it owes none.
func (c *conn) silentSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.owed) == 0 {
		return time.Time{}, false
	}
	since := time.Unix(0, c.heardAt.Load())
	if c.owed[0].sentAt.After(since) {
		since = c.owed[0].sentAt
	}
	return since, true
}

// read runs until the connection ends.
func (c *conn) read() {
	r := reader{c: c, buf: make([]byte, readBuffer)}
	err := r.loop()
	c.mu.Lock()
	c.ended = true
	s := c.sink
	c.mu.Unlock()
	if s != nil {
		s.broken(err)
	}
	confirmed := closedByPeer(err)
	if !confirmed {
		c.end()
		_, err := io.Copy(io.Discard, c.nc)
		confirmed = err == nil || closedByPeer(err)
	}
	_ = c.nc.Close()
	c.report(err, confirmed)
}

// errLingered ends a connection whose server did not close its end in time.
var errLingered = errors.New("the backend server did not close the connection")

// report tells the owner about the end, once.
func (c *conn) report(err error, confirmed bool) {
	c.reported.Do(func() { c.owner.ended(c, err, confirmed) })
}

func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

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
