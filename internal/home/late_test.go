package home

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// connEndRecorder is a connOwner that records the end of a connection.
type connEndRecorder chan error

func (e connEndRecorder) handleResetDone(*conn) {}

func (e connEndRecorder) handleConnEnd(_ *conn, err error, _ bool) { e <- err }

// Guards against a crash of the host when a backend server answers a batch
// after its stream was abandoned.
func TestLateAnswerWithoutStream(t *testing.T) {
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
			done := make(connEndRecorder, 1)
			c := &conn{nc: near, owner: done, statements: newStatementCache()}
			c.expectAnswers(expectedAnswer{kind: answerBatch})
			go c.readLoop()
			data, err := m.Encode(nil)
			assert.NilError(t, err)
			_, err = far.Write(data)
			assert.NilError(t, err)
			time.AfterFunc(50*time.Millisecond, func() { _ = far.Close() })
			assert.ErrorContains(t, <-done, "answer to a batch without a stream")
		})
	}
}
