package executor

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cranberryhinge/cranberryhinge/internal/fixedseed"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

func execute(shape string) *peerpb.ExecuteRequest {
	return &peerpb.ExecuteRequest{Kind: uint32(statement.Execute), Id: "e-" + shape, Arguments: "a", Shape: shape}
}

// sameXXHash are two shapes whose 64-bit xxHash is the same.
var sameXXHash = [2]string{"q2c", "q9f00000vIqX2tUSXm7FAUCV"}

// Guards against a statement that runs the shape of another one, because the names of the
// two on backend connections collide: a client can choose a shape for that.
func TestShapesThatCollideInAWeakHashRunAsPrepared(t *testing.T) {
	f := newFixture(t)
	var want []string
	for range 2 {
		for _, shape := range sameXXHash {
			assert.Assert(t, f.do(execute(shape)).GetFailure() == nil)
			want = append(want, shape)
		}
	}
	var got []string
	for _, e := range f.server.executed {
		got = append(got, e.shape.Text)
	}
	assert.DeepEqual(t, got, want)
	assert.Equal(t, f.server.conns, 1)
}

// Guards against telling a client that a statement which it has prepared is unknown, because
// the server has lost it again and again: the name is that of the host.
func TestLossOfPreparedStatementIsNotReportedAsUnknown(t *testing.T) {
	for _, writes := range []bool{false, true} {
		f := newFixture(t)
		f.server.failWith = func(c *fakeConn, cmd statement.Command) *verdict.Error {
			if cmd.Kind == statement.Execute {
				clear(c.prepared)
			}
			return nil
		}
		r := execute("q")
		r.ShapeWrites, r.Primary = writes, writes
		f.wantFailure(f.do(r), verdict.NotRun, verdict.ConnectionLost)
		assert.Equal(t, len(f.server.executed), 0)
	}
}

// preparedModel draws requests that share the connections of one customer, and checks at
// the server that each one ran its own shape with the values of its session.
type preparedModel struct {
	*fixture
	rt *rapid.T
	// inTx holds the handle of each open transaction, by the number of its session.
	inTx   map[int]uint64
	lastID int
}

// sessions is the number of sessions of the model. They have different values, and use
// the two slots of the server.
const sessions = 2

func (m *preparedModel) request(session int) *peerpb.ExecuteRequest {
	m.lastID++
	shape := rapid.OneOf(rapid.SampledFrom(sameXXHash[:]), rapid.StringN(0, 3, -1)).Draw(m.rt, "shape")
	r := &peerpb.ExecuteRequest{
		Kind: uint32(statement.Execute), Id: fmt.Sprint(m.lastID), Arguments: "a", Shape: shape, ShapeWrites: rapid.Bool().Draw(m.rt, "writes"),
		Transaction: m.inTx[session], Values: map[string]string{fmt.Sprint("v", session): "1"},
	}
	r.Primary = r.ShapeWrites
	return r
}

// run runs the request and checks what the server ran for its id.
func (m *preparedModel) run(r *peerpb.ExecuteRequest) *peerpb.ExecuteResponse {
	inTx := r.GetTransaction() != 0 || r.GetBeginText() != ""
	resp := m.do(r)
	var ran []execution
	for _, e := range m.server.executed {
		if e.id == r.GetId() {
			ran = append(ran, e)
		}
	}
	if f := resp.GetFailure(); f != nil {
		assert.Assert(m.rt, inTx && f.GetReason() == string(verdict.TransactionAborted), "%v", f)
		assert.Equal(m.rt, len(ran), 0)
		return resp
	}
	assert.Equal(m.rt, len(ran), 1)
	assert.Equal(m.rt, ran[0].shape, statement.Shape{Writes: r.GetShapeWrites(), Text: r.GetShape()})
	assert.DeepEqual(m.rt, ran[0].values, r.GetValues())
	return resp
}

func (m *preparedModel) step(session int) {
	switch rapid.IntRange(0, 9).Draw(m.rt, "step") {
	case 0: // between two requests of the same shape
		r := m.request(session)
		m.inTx[session] = m.run(r).GetTransaction()
		m.server.forgetPrepared()
		again := m.request(session)
		again.Shape, again.ShapeWrites, again.Primary = r.GetShape(), r.GetShapeWrites(), r.GetPrimary()
		m.inTx[session] = m.run(again).GetTransaction()
	case 1: // more shapes than a connection keeps
		for i := range maxPrepared + 2 {
			r := m.request(session)
			r.Shape = fmt.Sprintf("many%d", i)
			m.inTx[session] = m.run(r).GetTransaction()
		}
	case 2:
		if m.inTx[session] == 0 {
			r := m.request(session)
			r.BeginId, r.BeginText, r.Primary = r.GetId()+"b", "BEGIN", true
			m.inTx[session] = m.run(r).GetTransaction()
		}
	case 3:
		if handle := m.inTx[session]; handle != 0 {
			m.do(&peerpb.ExecuteRequest{Kind: uint32(statement.Rollback), Id: "r", Transaction: handle})
			m.inTx[session] = 0
		}
	default:
		m.inTx[session] = m.run(m.request(session)).GetTransaction()
	}
}

// Guards against a prepared statement that runs another shape or with other session values
// than those of its client, or that is reported as unknown, after resets, more shapes than a
// connection keeps, transactions, and a server that has lost its prepared statements.
func TestPreparedStatementsRunTheirShape(t *testing.T) { rapid.Check(t, checkPreparedStatements(t)) }

func FuzzPreparedStatements(f *testing.F) {
	f.Fuzz(func(t *testing.T, seed []byte) { rapid.MakeFuzz(checkPreparedStatements(t))(t, seed) })
}

func checkPreparedStatements(t *testing.T) func(*rapid.T) {
	return func(rt *rapid.T) {
		m := &preparedModel{fixture: newFixture(t), rt: rt, inTx: map[int]uint64{}}
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			m.step(rapid.IntRange(0, sessions-1).Draw(rt, "session"))
		}
	}
}

// Guards against logs that cannot tell which shape a connection has under a name, and
// whether the connection was reset since.
func TestLogsTellWhichPreparedStatementRan(t *testing.T) {
	f := newFixture(t)
	var out bytes.Buffer
	f.x.opt.Log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &out}}
	assert.Assert(t, f.do(execute("q")).GetFailure() == nil)
	assert.Assert(t, f.do(execute("q")).GetFailure() == nil)
	withValue := execute("q")
	withValue.Values = map[string]string{"v": "1"}
	assert.Assert(t, f.do(withValue).GetFailure() == nil)
	assert.Assert(t, f.do(execute("q")).GetFailure() == nil)
	type entry struct {
		Message, ID, Server, Name, Cause string
		Connection                       uint64
		Digest                           string `json:"shape_sha256"`
		Added                            bool
	}
	var got []entry
	for line := range strings.Lines(out.String()) {
		var e entry
		assert.NilError(t, json.Unmarshal([]byte(line), &e))
		if strings.HasPrefix(e.Message, "prepared statement") || e.Message == "backend connection reset" {
			got = append(got, e)
		}
	}
	const digest = "8e35c2cd3bf6641bdb0e2050b76932cbb2e6034a0ddacc1d9bea82a6ba57f7cf" // sha256 of "q"
	chosen := entry{Message: "prepared statement chosen", ID: "e-q", Server: "db", Connection: 1, Digest: digest, Name: newPreparedStatement(statement.Shape{Text: "q"}).name}
	added := chosen
	added.Added = true
	reset := entry{Message: "backend connection reset", ID: "e-q", Server: "db", Connection: 1, Cause: "foreign_values"}
	assert.DeepEqual(t, got, []entry{added, chosen, chosen, reset, added})
	assert.Equal(t, f.x.opt.Counters.Get("backend_connections_reset_foreign_values"), int64(1))
}
