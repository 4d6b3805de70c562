package entry

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/session"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// client is one client connection. Its own goroutine reads from the client; the
// goroutine of the open exchange and the duties of the Entry reach it through mu.
type client struct {
	entry      *Entry
	conn       net.Conn
	encrypted  bool
	registered bool
	minor      uint32
	// header is the buffer that an idle session reads into.
	header    [headerBytes]byte
	processID uint32
	secret    uint32
	// routeName never changes; route is refreshed by the client's goroutine.
	routeName string
	route     config.Route
	customer  string
	key       string

	mu      sync.Mutex
	changed *sync.Cond
	machine *session.Machine
	// exchange is the open Run stream, nil between transactions.
	exchange *exchange
	// opening is the exchange whose stream is being opened.
	opening *exchange
	// awaiting is set from the end of a batch until its ReadyForQuery.
	awaiting bool
	// closing is why the session has to end; hard does not wait for the end of
	// the transaction.
	closing *verdict.Error
	hard    bool
	// lost is set when the open transaction was lost.
	lost *verdict.Error
	// busy is set while a message of the client is read and handled.
	busy bool
	// dead is set when nothing more can be sent to the client.
	dead bool

	writeMu sync.Mutex
}

// headerBytes is the size of a message type and length.
const headerBytes = 5

// errEnded ends a session without a message to the client.
var errEnded = errors.New("session ended")

func asRefusal(err error) (*verdict.Error, bool) {
	var e *verdict.Error
	ok := errors.As(err, &e)
	return e, ok
}

// serve runs the session until either side ends it.
func (c *client) serve() {
	defer c.end()
	for {
		typ, body, err := c.readMessage()
		if err == nil {
			err = c.handle(typ, body)
			releaseBody(body)
		}
		c.setBusy(false)
		if err != nil {
			c.farewell(err)
			return
		}
	}
}

func (c *client) setBusy(on bool) {
	c.mu.Lock()
	c.busy = on
	c.mu.Unlock()
}

// farewell sends the error that ends the session, when there is one.
func (c *client) farewell(err error) {
	refused, ok := asRefusal(err)
	if !ok {
		return
	}
	c.mu.Lock()
	silent := c.dead || c.machine.MidMessage()
	shutdown := refused == c.closing
	c.dead = true
	c.mu.Unlock()
	if silent {
		return
	}
	c.entry.refused(refused)
	message := session.FatalResponse(refused)
	if shutdown {
		message = session.ShutdownResponse(refused)
	}
	if c.write(message) == nil {
		linger(c.conn)
	}
}

// lingerTime bounds the wait for the client to close after the last message.
const lingerTime = time.Second

// linger reads until the client closes. Closing a socket with unread data would
// reset the connection, and the client could lose the last message.
func linger(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, conn)
}

// end releases what the session holds. An open transaction is rolled back by the
// home host, which sees its stream end.
func (c *client) end() {
	c.mu.Lock()
	x := c.exchange
	c.exchange, c.dead = nil, true
	c.mu.Unlock()
	if x != nil {
		x.abandon()
	}
	_ = c.conn.Close()
	c.entry.sessions.remove(c)
}

// readMessage returns the next message of the client. The body comes from a pool.
func (c *client) readMessage() (typ byte, body []byte, err error) {
	header := c.header[:]
	if err := c.awaitMessage(header[:1]); err != nil {
		return 0, nil, err
	}
	c.setBusy(true)
	_ = c.conn.SetReadDeadline(time.Now().Add(c.entry.opts.ClientPatience))
	if _, err := io.ReadFull(c.conn, header[1:]); err != nil {
		return 0, nil, c.halfSent(err)
	}
	size := int(int32(binary.BigEndian.Uint32(header[1:]))) - 4
	if size < 0 {
		return 0, nil, violation("invalid message length")
	}
	if size > maxMessageBytes {
		return 0, nil, verdict.New(c.openVerdict(), verdict.MessageTooBig, "message of %d bytes is over the limit of %d", size, maxMessageBytes)
	}
	if body, err = readBody(c.conn, size); err != nil {
		return 0, nil, c.halfSent(err)
	}
	return header[0], body, nil
}

// readBody reads a message body. A large one takes memory as its bytes arrive,
// so that a header alone takes none.
func readBody(r io.Reader, size int) ([]byte, error) {
	if size <= pooledBodyBytes {
		body := (*bodies.Get().(*[]byte))[:size]
		_, err := io.ReadFull(r, body)
		if err != nil {
			releaseBody(body)
		}
		return body, err
	}
	var body []byte
	for len(body) < size {
		have := len(body)
		grown := min(size, max(firstBodyBytes, 2*have))
		body = slices.Grow(body, grown-have)[:grown]
		if _, err := io.ReadFull(r, body[have:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// awaitMessage waits for the first byte of a message. Between transactions it
// waits without limit, and holds no buffer meanwhile.
func (c *client) awaitMessage(first []byte) error {
	for {
		reason, deadline, err := c.armRead()
		if err != nil {
			return err
		}
		_, err = io.ReadFull(c.conn, first)
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return errEnded
		}
		if closing := c.mustClose(); closing != nil {
			return closing
		}
		if reason != nil && !time.Now().Before(deadline) && c.stillWaiting() {
			return reason
		}
	}
}

// armRead sets the read deadline for the state of the session and returns the
// error that its passing means.
func (c *client) armRead() (reason *verdict.Error, deadline time.Time, err error) {
	c.mu.Lock()
	switch {
	case c.machine.InBatch():
		deadline = time.Now().Add(c.entry.opts.ClientPatience)
		reason = verdict.New(c.verdictLocked(), verdict.ProtocolViolation, "the client did not finish its request")
	case c.machine.Status() != session.StatusIdle:
		deadline = time.Now().Add(c.entry.opts.IdleTransaction)
		reason = verdict.New(verdict.NotRun, verdict.IdleTransactionTime, "idle-in-transaction timeout")
	}
	c.mu.Unlock()
	_ = c.conn.SetReadDeadline(deadline)
	// A kick before the deadline was set has to be seen here, a later one
	// overwrites the deadline.
	if closing := c.mustClose(); closing != nil {
		return nil, deadline, closing
	}
	return reason, deadline, nil
}

// stillWaiting reports whether the client still owes a message that has a
// deadline. The batch can have ended meanwhile.
func (c *client) stillWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.InBatch() || c.machine.Status() != session.StatusIdle
}

// mustClose returns why the session has to end now, or nil.
func (c *client) mustClose() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.dead:
		return errEnded
	case c.lost != nil:
		return c.lost
	case c.closing == nil:
		return nil
	case c.machine.InBatch() || c.awaiting:
		return nil
	case c.hard || c.machine.Status() == session.StatusIdle:
		return c.closing
	}
	return nil
}

// openVerdict is the verdict for a request that the client has not finished.
func (c *client) openVerdict() verdict.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.verdictLocked()
}

func (c *client) verdictLocked() verdict.Verdict {
	if c.exchange != nil && c.machine.InBatch() {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

func (c *client) halfSent(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if closing := c.mustClose(); closing != nil {
			return closing
		}
		return verdict.New(c.openVerdict(), verdict.ProtocolViolation, "the client did not finish its message")
	}
	return errEnded
}

// messageTypes are the messages that a client may send after its login. After
// any other, the boundaries of the following messages cannot be trusted.
const messageTypes = "QPBDCEHSXFdcf"

// handle processes one message, and at the end of a batch waits for its answer.
func (c *client) handle(typ byte, body []byte) error {
	if strings.IndexByte(messageTypes, typ) < 0 {
		return verdict.New(c.openVerdict(), verdict.ProtocolViolation, "invalid message type %q", typ)
	}
	c.mu.Lock()
	if c.lost != nil {
		c.mu.Unlock()
		return c.lost
	}
	step, refused := c.machine.Client(typ, body)
	if refused != nil {
		reply := c.machine.Refuse(refused, typ == 'Q' || typ == 'S')
		c.mu.Unlock()
		c.entry.refused(refused)
		return c.write(reply)
	}
	if step.End {
		c.awaiting = true
	}
	c.mu.Unlock()
	switch {
	case step.Close:
		return errEnded
	case len(step.Reply) > 0:
		return c.write(step.Reply)
	case step.Send:
		if err := c.send(step.End); err != nil {
			return err
		}
	}
	if step.End {
		return c.awaitReady()
	}
	return nil
}

// send forwards the collected bytes, opening a stream where none is open.
func (c *client) send(ended bool) error {
	c.mu.Lock()
	x := c.exchange
	begins := x == nil || !x.inBatch
	runs := c.machine.Runs()
	c.mu.Unlock()
	bound := deadline(c.route)
	if x == nil {
		var refused *verdict.Error
		if x, refused = c.open(); refused != nil {
			return c.refuseBatch(refused, ended)
		}
		bound = time.Until(x.end)
	} else if runs && !x.admitted {
		ctx, done := context.WithTimeout(x.ctx, bound)
		err := c.entry.opts.Limiter.Admit(ctx, c.customer)
		done()
		if err != nil {
			refused := verdict.From(err)
			c.entry.refused(refused)
			c.mu.Lock()
			c.machine.Abort(refused, ended)
			c.mu.Unlock()
		}
		x.admitted = true
	}
	if begins {
		x.beginBatch(bound)
	}
	c.mu.Lock()
	if c.exchange != x {
		c.mu.Unlock()
		return nil
	}
	prepared := c.machine.Prepared()
	chunk := c.machine.Take()
	c.mu.Unlock()
	if len(prepared) > 0 {
		// A further Start names statements that the following bytes refer to.
		x.send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Start{Start: &peerpb.Start{Prepared: prepared}}})
	}
	x.forward(chunk)
	return nil
}

// refuseBatch answers a batch of which nothing was sent.
func (c *client) refuseBatch(refused *verdict.Error, ended bool) error {
	c.mu.Lock()
	reply := c.machine.Refuse(refused, ended)
	c.awaiting = false
	c.mu.Unlock()
	c.entry.refused(refused)
	return c.write(reply)
}

// awaitReady waits until the batch has been answered, or until the backend
// server waits for copy data.
func (c *client) awaitReady() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.awaiting && !c.dead && c.lost == nil && !c.machine.CopyIn() {
		c.changed.Wait()
	}
	switch {
	case c.dead:
		return errEnded
	case c.lost != nil:
		return c.lost
	}
	return nil
}

// kick asks the session to end: hard ends an idle transaction and cancels a
// running statement, otherwise the open transaction may end first.
func (c *client) kick(reason *verdict.Error, hard bool) {
	c.mu.Lock()
	first := c.closing == nil || hard && !c.hard
	if first {
		c.closing, c.hard = reason, hard
	}
	running := c.awaiting || c.machine.InBatch()
	wake := !running && !c.busy && (hard || c.machine.Status() == session.StatusIdle)
	x, opening := c.exchange, c.opening
	c.mu.Unlock()
	if !first {
		return
	}
	if wake {
		// Wakes the goroutine of the session, which is the only one that ends it.
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if hard && x != nil {
		x.cancelAndAbandon(reason)
	}
	if hard && opening != nil {
		c.abortOpening(opening, reason)
	}
}

// cancelStatement cancels the running statement, and nothing when none runs.
func (c *client) cancelStatement() {
	c.mu.Lock()
	x, opening := c.exchange, c.opening
	running := x != nil && x.inBatch
	c.mu.Unlock()
	if running {
		x.cancelRequest()
	}
	if opening != nil {
		c.abortOpening(opening, verdict.New(verdict.NotRun, verdict.Cancelled, "canceling statement due to user request"))
	}
}

// write sends bytes to the client. A client that does not take them in time ends
// the session.
func (c *client) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeLocked(b)
}

func (c *client) writeLocked(b []byte) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.entry.opts.ClientPatience))
	if _, err := c.conn.Write(b); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.entry.opts.Counters.Add("client_write_timeouts", 1)
		}
		return errEnded
	}
	return nil
}

// bodies holds message bodies of usual size.
var bodies = sync.Pool{New: func() any { b := make([]byte, pooledBodyBytes); return &b }}

const (
	pooledBodyBytes = 4 << 10
	// firstBodyBytes is the memory taken for a larger body before any byte of it
	// has arrived.
	firstBodyBytes = 64 << 10
)

func releaseBody(b []byte) {
	if cap(b) == pooledBodyBytes {
		b = b[:pooledBodyBytes]
		bodies.Put(&b)
	}
}

// floor returns the session's token, and asks for the position of the primary
// before the first read of a session without one.
func (c *client) floor(ctx context.Context) (session.Token, error) {
	c.mu.Lock()
	t := c.machine.Floor()
	c.mu.Unlock()
	if !t.IsZero() {
		return t, nil
	}
	t, err := c.entry.positions.get(ctx, c.route.Group, c.customer)
	for err != nil {
		// The primary can change before the caller's deadline.
		if !clock.Sleep(ctx, positionPause) {
			return session.Token{}, err
		}
		t, err = c.entry.positions.get(ctx, c.route.Group, c.customer)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.Raise(t)
	return c.machine.Floor(), nil
}
