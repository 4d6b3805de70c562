package home

import (
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

// resetQuery clears the state that a session may have left on a connection. It
// is not DISCARD ALL, which would drop the shared prepared statements (design,
// section 10).
const resetQuery = "RESET ALL; CLOSE ALL; UNLISTEN *; DISCARD TEMP; DISCARD SEQUENCES; SELECT pg_advisory_unlock_all()"

// readOnlyQuery makes the backend server reject writes on a stream with read
// intent.
const readOnlyQuery = "SET default_transaction_read_only = on"

const (
	// readBufferSize is the initial size of a connection's read buffer, and the
	// usual limit of a chunk sent to the entry host.
	readBufferSize = 32 << 10
	// maxDecodedMessage limits the size of messages that are decoded, such as
	// errors.
	maxDecodedMessage = 1 << 20
)

// Types of the backend messages that the home host inspects.
const (
	msgCommandComplete = 'C'
	msgEmptyQuery      = 'I'
	msgPortalSuspended = 's'
	msgError           = 'E'
	msgReady           = 'Z'
	msgDataRow         = 'D'
	msgParseComplete   = '1'
	msgCloseComplete   = '3'
	msgCopyInResponse  = 'G'
	msgNotice          = 'N'
	msgParameterStatus = 'S'
	msgNotification    = 'A'
)

// sqlStateAdminShutdown is the SQLSTATE of the error with which the server
// closes a connection on eviction.
const sqlStateAdminShutdown = "57P01"

// answerKind determines how an answer of the backend server is handled.
type answerKind uint8

const (
	// answerDiscard is the answer to an internal query of the home host.
	answerDiscard answerKind = iota
	// answerStatus is the answer to the status query before a read.
	answerStatus
	// answerPosition is the answer to the status query after a commit.
	answerPosition
	// answerBatch is the answer to a batch from the entry host.
	answerBatch
	// answerReset is the answer to the reset query, after which the connection
	// is idle.
	answerReset
	// answerPing is the answer to a Sync that was sent as a ping.
	answerPing
)

// expectedAnswer describes an outstanding answer of the backend server, up to
// its ReadyForQuery.
type expectedAnswer struct {
	kind answerKind
	// mark is the mark of the status query, if the answer is one to it.
	mark dbconn.Mark
	// parsing lists the statements whose ParseComplete is not relayed to the
	// entry host. parsed counts those received.
	parsing []*peerpb.Prepared
	parsed  int
	// outstandingCloses counts the outstanding CloseComplete messages that are
	// not relayed to the entry host.
	outstandingCloses int
	sentAt            time.Time
}

// sink receives the answers of a connection. Its methods are called by the
// connection's reader goroutine.
type sink interface {
	// relay relays a chunk of backend messages. The chunk is valid only during
	// the call. commandCompleted is set from the first completed command of the
	// batch. If relay returns an error, the reader closes the connection.
	relay(chunk []byte, commandCompleted bool) error
	// handleStatusRow handles the answer to the status query before a read.
	handleStatusRow(dbconn.Status) error
	// handleCommitPosition handles the answer to the status query after a
	// commit.
	handleCommitPosition(dbconn.Status)
	// handleCommandTag handles the tag of a completed command. index is the number of
	// statements of the batch that ended before it. An error closes the connection.
	handleCommandTag(tag []byte, index int) error
	// handleServerError handles an error before it is relayed. It returns true
	// if the error must be withheld from the entry host.
	handleServerError(*pgproto3.ErrorResponse) (withhold bool)
	// handleCopyIn is called when the backend server starts to accept copy
	// data.
	handleCopyIn()
	// handlePong handles the answer to a ping.
	handlePong()
	// handleReady handles the end of a batch's answer, which had the given messages. An
	// error closes the connection.
	handleReady(txStatus byte, got *messageCounts) error
	// handleConnLost is called once, when the connection becomes unusable.
	handleConnLost(error)
}

// connOwner is notified by a connection's reader goroutine about changes of the
// connection's state.
type connOwner interface {
	// handleResetDone is called when the reset query has been answered.
	handleResetDone(*conn)
	// handleConnEnd is called when the connection has ended. If confirmed is
	// false, the backend server has not closed its side and may still count the
	// connection as open.
	handleConnEnd(c *conn, err error, confirmed bool)
}

// conn is one data connection to a backend server. A reader goroutine reads
// from it as long as it is open, so that a close by the server is detected
// while the connection is idle.
type conn struct {
	id     backend.ConnID
	nc     net.Conn
	pid    uint32
	secret []byte
	owner  connOwner

	// writeMu serialises requests, so that expectedAnswers has the order of the
	// written bytes.
	writeMu sync.Mutex

	mu              sync.Mutex
	expectedAnswers []expectedAnswer
	sink            sink
	// closing is set once the connection is being closed.
	closing bool
	// readerDone is set once the reader goroutine has stopped reading answers.
	readerDone bool
	// retired is set when the connection must not serve another stream.
	retired bool

	reportOnce sync.Once
	statements *statementCache
	lastReadAt atomic.Int64
	// resetFor is the ID of the request after which the connection is being
	// reset, or 0.
	resetFor atomic.Uint64
}

func newConn(id backend.ConnID, raw *pgconn.HijackedConn, o connOwner) *conn {
	c := &conn{id: id, nc: raw.Conn, pid: raw.PID, secret: raw.SecretKey, owner: o, statements: newStatementCache()}
	c.lastReadAt.Store(time.Now().UnixNano())
	return c
}

// attach sets the receiver of subsequent answers; nil means none. It returns
// false if the connection has ended.
func (c *conn) attach(s sink) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sink = s
	return !c.readerDone
}

// expectAnswers registers expected answers. It must be called before the bytes
// that cause them are written, because an answer may arrive before the write
// returns.
func (c *conn) expectAnswers(a ...expectedAnswer) {
	now := time.Now()
	c.mu.Lock()
	for i := range a {
		a[i].sentAt = now
	}
	c.expectedAnswers = append(c.expectedAnswers, a...)
	c.mu.Unlock()
}

// sendRequest registers the expected answers, writes the bytes that cause them,
// and returns the number of bytes that may have been sent. Both steps are done
// under one lock, because another request between them would receive these
// answers.
func (c *conn) sendRequest(b []byte, deadline time.Time, answers ...expectedAnswer) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.expectAnswers(answers...)
	return c.writeCounted(b, deadline)
}

// write writes bytes to the backend server until the deadline.
func (c *conn) write(b []byte, deadline time.Time) error {
	_, err := c.writeCounted(b, deadline)
	return err
}

// writeCounted writes like write and returns the number of bytes that may have
// been sent.
func (c *conn) writeCounted(b []byte, deadline time.Time) (int, error) {
	if err := c.nc.SetWriteDeadline(deadline); err != nil {
		return 0, errors.Wrap(err, "set write deadline")
	}
	n, err := c.nc.Write(b)
	return n, errors.Wrap(err, "write to backend server")
}

// closeTimeout bounds the wait for the backend server to close its side of a
// connection.
const closeTimeout = time.Second

// terminate closes the connection. It sends Terminate and keeps the socket open
// for up to closeTimeout, because the server counts the connection against its
// limit until it has closed its side. The reader goroutine reports the end.
// terminate returns false if the connection is already closing.
func (c *conn) terminate() bool {
	c.mu.Lock()
	alreadyClosing := c.closing
	c.closing = true
	c.mu.Unlock()
	if alreadyClosing {
		return false
	}
	now := time.Now()
	time.AfterFunc(closeTimeout, func() {
		_ = c.nc.Close()
		// The reader goroutine may be blocked in a send to a slow entry host.
		c.reportEnd(errCloseTimeout, false)
	})
	if err := c.write(terminateBytes, now.Add(terminateTimeout)); err == nil {
		if t, ok := c.nc.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}
	return true
}

// terminateTimeout bounds the write of Terminate or an idle ping, which a full
// socket buffer can block.
const terminateTimeout = 10 * time.Millisecond

var terminateBytes = encode(nil, &pgproto3.Terminate{})

// isUsable reports whether the connection may serve another stream.
func (c *conn) isUsable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && !c.retired
}

// isIdle reports whether no stream uses the connection.
func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sink == nil
}

// timeSinceRead returns the time since data was last received from the backend
// server.
func (c *conn) timeSinceRead(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.lastReadAt.Load()))
}

// ping sends a Sync as a liveness check.
func (c *conn) ping(deadline time.Time) error {
	_, err := c.sendRequest(syncBytes, deadline, expectedAnswer{kind: answerPing})
	return err
}

// pingIfIdle pings the connection unless a stream uses it. If the ping cannot
// be sent, it closes the connection: the answer is already registered, and the
// next answer would be mistaken for it.
func (c *conn) pingIfIdle(deadline time.Time) error {
	c.writeMu.Lock()
	idle := c.isIdle()
	var err error
	if idle {
		c.expectAnswers(expectedAnswer{kind: answerPing})
		err = c.write(syncBytes, deadline)
	}
	c.writeMu.Unlock()
	if err != nil {
		c.terminate()
	}
	return err
}

var syncBytes = encode(nil, &pgproto3.Sync{})

// markRetired prevents the connection from serving another stream.
func (c *conn) markRetired() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
}

// currentAnswer returns the answer being read and its receiver. It returns
// false if no answer is outstanding.
func (c *conn) currentAnswer() (a expectedAnswer, s sink, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.expectedAnswers) == 0 {
		return expectedAnswer{}, c.sink, false
	}
	return c.expectedAnswers[0], c.sink, true
}

// unansweredSince returns the time since which an answer has been outstanding
// without any data received. It returns false if no answer is outstanding.
func (c *conn) unansweredSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.expectedAnswers) == 0 {
		return time.Time{}, false
	}
	since := time.Unix(0, c.lastReadAt.Load())
	if c.expectedAnswers[0].sentAt.After(since) {
		since = c.expectedAnswers[0].sentAt
	}
	return since, true
}

// readLoop reads until the connection ends, and reports the end to the sink and
// the owner.
func (c *conn) readLoop() {
	r := reader{c: c, buf: make([]byte, readBufferSize)}
	err := r.loop()
	c.mu.Lock()
	c.readerDone = true
	s := c.sink
	c.mu.Unlock()
	if s != nil {
		s.handleConnLost(err)
	}
	confirmed := closedByPeer(err)
	if !confirmed {
		c.terminate()
		_, err := io.Copy(io.Discard, c.nc)
		confirmed = err == nil || closedByPeer(err)
	}
	_ = c.nc.Close()
	c.reportEnd(err, confirmed)
}

// errCloseTimeout ends a connection whose server did not close its side within
// closeTimeout.
var errCloseTimeout = errors.New("backend server did not close the connection in time")

// reportEnd reports the end of the connection to its owner, at most once.
func (c *conn) reportEnd(err error, confirmed bool) {
	c.reportOnce.Do(func() { c.owner.handleConnEnd(c, err, confirmed) })
}

func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}
