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

	// writeMu serialises requests: their answers arrive in the order of the bytes.
	writeMu sync.Mutex

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

// request announces the answers, writes the bytes that cause them, and returns
// the number of bytes that may have been sent. Both happen in one step, because
// another request in between would take these answers for its own.
func (c *conn) request(b []byte, deadline time.Time, answers ...answer) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.expect(answers...)
	return c.writeSome(b, deadline)
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
	_, err := c.request(syncBytes, deadline, answer{kind: answerPing})
	return err
}

// probe asks for a sign of life unless a stream uses the connection. It ends
// the connection if the question could not be sent: its answer is announced, and
// the next answer would be taken for it.
func (c *conn) probe(deadline time.Time) error {
	c.writeMu.Lock()
	idle := c.idle()
	var err error
	if idle {
		c.expect(answer{kind: answerPing})
		err = c.write(syncBytes, deadline)
	}
	c.writeMu.Unlock()
	if err != nil {
		c.end()
	}
	return err
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
