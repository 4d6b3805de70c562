package dbconn

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// slowWriter is a connection whose first slowWrites writes return long after the
// peer has received the data, as in a stalled process.
type slowWriter struct {
	net.Conn
	slowWrites int
}

func (s *slowWriter) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	if s.slowWrites > 0 {
		s.slowWrites--
		time.Sleep(100 * time.Millisecond)
	}
	return n, err
}

// loginWrites is the number of writes of a login: the startup message and the
// password.
const loginWrites = 2

// serveSession accepts any login. It answers a Query with EmptyQueryResponse and
// ReadyForQuery, and any other message with ReadyForQuery.
func serveSession(conn net.Conn) {
	defer conn.Close()
	be := pgproto3.NewBackend(conn, conn)
	if _, err := be.ReceiveStartupMessage(); err != nil {
		return
	}
	be.Send(&pgproto3.AuthenticationCleartextPassword{})
	_ = be.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	if be.Flush() != nil {
		return
	}
	if _, err := be.Receive(); err != nil {
		return
	}
	be.Send(&pgproto3.AuthenticationOk{})
	for {
		be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		if be.Flush() != nil {
			return
		}
		m, err := be.Receive()
		if err != nil {
			return
		}
		if _, ok := m.(*pgproto3.Query); ok {
			be.Send(&pgproto3.EmptyQueryResponse{})
		}
	}
}

// Guards against losing the first answer on a hijacked connection to a
// background read, which pgconn starts when a write takes more than 15 ms. The
// fault appeared as "no answer from ..." for one statement on a new connection.
func TestHijackedConnectionKeepsItsAnswers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveSession(conn)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &slowWriter{Conn: conn, slowWrites: loginWrites}, err
	}
	c, err := Dial(ctx, l.Addr().String(), Credentials{User: "u", Password: "p", Database: "d", Dial: dial}, "test")
	assert.NilError(t, err)
	raw, err := c.Hijack(ctx)
	assert.NilError(t, err)
	defer raw.Conn.Close()
	sync, err := (&pgproto3.Sync{}).Encode(nil)
	assert.NilError(t, err)
	_, err = raw.Conn.Write(sync)
	assert.NilError(t, err)
	assert.NilError(t, raw.Conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	answer := make([]byte, 6)
	_, err = raw.Conn.Read(answer)
	assert.NilError(t, err)
	assert.Equal(t, answer[0], byte('Z'))
}

// serveRepeatedAnswer accepts any login. It answers the first call and sends that answer
// again before the answer to the second call.
func serveRepeatedAnswer(conn net.Conn) {
	defer conn.Close()
	be := pgproto3.NewBackend(conn, conn)
	if _, err := be.ReceiveStartupMessage(); err != nil {
		return
	}
	be.Send(&pgproto3.AuthenticationOk{})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	var first []byte
	for be.Flush() == nil {
		m, err := be.Receive()
		if err != nil {
			return
		}
		q, ok := m.(*pgproto3.Query)
		if !ok {
			return
		}
		values := []string{"db", "7", "primary", "40", "40", "1"}
		if strings.Contains(q.String, "fence") {
			values = append(values, "40")
		}
		if w := strings.Fields(q.String); len(w) > 3 && w[2] == "AS" {
			values = append([]string{w[1]}, values...)
		}
		row := &pgproto3.DataRow{}
		for _, v := range values {
			row.Values = append(row.Values, []byte(v))
		}
		var answer []byte
		for _, m := range []pgproto3.BackendMessage{
			&pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, len(values))}, row,
			&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
		} {
			answer, _ = m.Encode(answer)
		}
		if _, err := conn.Write(append(first, answer...)); err != nil {
			return
		}
		first = answer
	}
}

// Guards against taking the second copy of an earlier answer for the answer to a call: an
// owner would believe that a server is fenced, promoted or at a position while it is not.
func TestRepeatedAnswerIsRefused(t *testing.T) {
	calls := map[string]func(context.Context, *Conn) error{
		"status":  func(ctx context.Context, c *Conn) error { _, err := c.Status(ctx); return err },
		"fence":   func(ctx context.Context, c *Conn) error { _, err := c.Fence(ctx, 8); return err },
		"promote": func(ctx context.Context, c *Conn) error { return c.Promote(ctx, 8) },
		"follow":  func(ctx context.Context, c *Conn) error { return c.Follow(ctx, 8, "other") },
		"evict":   func(ctx context.Context, c *Conn) error { return c.Evict(ctx, 8) },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			go serveRepeatedAnswer(far)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			dial := func(context.Context, string, string) (net.Conn, error) { return near, nil }
			c, err := Dial(ctx, "192.0.2.1:5432", Credentials{User: "u", Database: "d", Dial: dial}, "test")
			assert.NilError(t, err)
			defer c.Close()
			_, err = c.Status(ctx)
			assert.NilError(t, err)
			assert.ErrorContains(t, call(ctx, c), "belongs to another call")
		})
	}
}
