package telemetry

import (
	"io"

	"github.com/phuslu/log"
)

// NewLogger returns a logger that writes JSON lines to w. Callers must never log
// keys or backend credentials.
func NewLogger(w io.Writer, level, host string) *log.Logger {
	return newLogger(&log.IOWriter{Writer: w}, level, host)
}

// NewAsyncLogger returns a logger that writes JSON lines to w. As with NewLogger,
// callers must never log keys or backend credentials.
func NewAsyncLogger(w *AsyncLogWriter, level, host string) *log.Logger {
	return newLogger(w, level, host)
}

func newLogger(w log.Writer, level, host string) *log.Logger {
	return &log.Logger{Level: log.ParseLevel(level), Writer: w, Context: log.NewContext(nil).Str("host", host).Value()}
}
