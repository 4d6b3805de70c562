package home

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// endings receives the end of a connection.
type endings chan error

func (e endings) clean(*conn) {}

func (e endings) ended(_ *conn, err error, _ bool) { e <- err }

// Guards against a crash of the host when a backend server answers a batch after
// its stream was given up.
func TestLateAnswerWithoutReceiver(t *testing.T) {
	messages := map[string]pgproto3.BackendMessage{
		"command":   &pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")},
		"error":     &pgproto3.ErrorResponse{Severity: "ERROR", Code: "57014", Message: "canceled"},
		"copy":      &pgproto3.CopyInResponse{},
		"ready":     &pgproto3.ReadyForQuery{TxStatus: 'I'},
		"data rows": &pgproto3.DataRow{},
	}
	for name, m := range messages {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			done := make(endings, 1)
			c := &conn{nc: near, owner: done, statements: newStatements()}
			c.expect(answer{kind: answerBatch})
			go c.read()
			data, err := m.Encode(nil)
			assert.NilError(t, err)
			_, err = far.Write(data)
			assert.NilError(t, err)
			time.AfterFunc(50*time.Millisecond, func() { _ = far.Close() })
			assert.ErrorContains(t, <-done, "answer without receiver")
		})
	}
}
