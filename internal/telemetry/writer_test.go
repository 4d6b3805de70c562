package telemetry

import (
	"bytes"
	"sync"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// Guards against a panic of a host that stops: a session that has not ended yet logs after
// the writer was closed.
func TestLineAfterCloseIsDropped(t *testing.T) {
	var out bytes.Buffer
	counters := NewCounters()
	w := NewAsyncLogWriter(&out, counters)
	logger := &log.Logger{Writer: w}
	var sessions sync.WaitGroup
	for range 4 {
		sessions.Go(func() {
			for range 100 {
				logger.Info().Msg("statement")
			}
		})
	}
	logger.Info().Msg("host stopped")
	w.Close()
	sessions.Wait()
	logger.Info().Msg("late")
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("host stopped")))
	assert.Assert(t, !bytes.Contains(out.Bytes(), []byte("late")))
	assert.Assert(t, counters.Get("log_lines_dropped") > 0)
}
