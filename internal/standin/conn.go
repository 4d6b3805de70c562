package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// clientConn wraps a client's network connection so that it can be made silent:
// the socket stays open, but nothing is delivered in either direction.
type clientConn struct {
	net.Conn
	db        *Database
	silent    atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
	// unmatchedTail is the end of the bytes read so far, in which a watched text
	// may begin.
	unmatchedTail []byte
}

func newClientConn(db *Database, conn net.Conn) *clientConn {
	return &clientConn{Conn: conn, db: db, closed: make(chan struct{})}
}

// silence makes the connection silent and closes it after the timeout.
func (c *clientConn) silence(timeout time.Duration) {
	if c.silent.CompareAndSwap(false, true) {
		time.AfterFunc(timeout, func() { c.Close() })
	}
}

// Read delivers nothing that arrives on a silent connection, not even its end:
// it blocks until the connection is closed on this side and returns io.EOF.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, io.EOF
	}
	c.unmatchedTail = c.db.countWatchedTexts(c.unmatchedTail, p[:n])
	return n, err
}

// Write waits for the answer delay. On a silent connection it discards the
// bytes and reports success.
func (c *clientConn) Write(p []byte) (int, error) {
	c.db.lock()
	delay := c.db.settings.AnswerDelay
	c.db.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-c.closed:
		}
	}
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *clientConn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		close(c.closed)
		err = c.Conn.Close()
	})
	return err
}

// finalWriteTimeout bounds the wait for a client that does not read.
const finalWriteTimeout = 50 * time.Millisecond

// writeFinalMessage sends the last message before the connection is closed.
// Unlike Write it does not take the lock of the database, which the caller
// holds.
func (c *clientConn) writeFinalMessage(p []byte) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
	_, _ = c.Conn.Write(p)
}
