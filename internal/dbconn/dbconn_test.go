package dbconn

import (
	"context"
	"net"
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
