package executor

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
)

func execute(shape string) *peerpb.ExecuteRequest {
	return &peerpb.ExecuteRequest{Kind: uint32(statement.Execute), Id: "e-" + shape, Arguments: "a", Shape: shape}
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
	chosen := entry{Message: "prepared statement chosen", ID: "e-q", Server: "db", Connection: 1, Digest: digest, Name: preparedName(statement.Shape{Text: "q"})}
	added := chosen
	added.Added = true
	reset := entry{Message: "backend connection reset", ID: "e-q", Server: "db", Connection: 1, Cause: "foreign_values"}
	assert.DeepEqual(t, got, []entry{added, chosen, chosen, reset, added})
	assert.Equal(t, f.x.opt.Counters.Get("backend_connections_reset_foreign_values"), int64(1))
}
