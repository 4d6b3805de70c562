package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// clientConn is a client's connection that can go silent.
type clientConn struct {
	net.Conn
	db     *Database
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
	tail   []byte
}

func newClientConn(db *Database, conn net.Conn) *clientConn {
	return &clientConn{Conn: conn, db: db, closed: make(chan struct{})}
}

func (c *clientConn) silence(timeout time.Duration) {
	if c.silent.CompareAndSwap(false, true) {
		time.AfterFunc(timeout, func() { c.Close() })
	}
}

// Read hides everything that arrives on a silent connection, its end included.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, io.EOF
	}
	c.tail = c.db.inspect(c.tail, p[:n])
	return n, err
}

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
	c.once.Do(func() {
		close(c.closed)
		err = c.Conn.Close()
	})
	return err
}

// lastWriteTimeout bounds the wait for a peer that reads nothing.
const lastWriteTimeout = 50 * time.Millisecond

// writeLast sends a final message. It takes no lock of the database.
func (c *clientConn) writeLast(p []byte) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
	_, _ = c.Conn.Write(p)
}
