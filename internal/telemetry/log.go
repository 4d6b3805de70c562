package telemetry

import (
	"io"

	"github.com/phuslu/log"
)

// NewLogger returns a logger that writes JSON lines. Keys and backend
// credentials must never be passed to it.
func NewLogger(w io.Writer, level, host string) *log.Logger {
	return logger(&log.IOWriter{Writer: w}, level, host)
}

// NewRingLogger returns a logger that writes JSON lines through the ring.
func NewRingLogger(r *LogRing, level, host string) *log.Logger { return logger(r, level, host) }

func logger(w log.Writer, level, host string) *log.Logger {
	return &log.Logger{Level: log.ParseLevel(level), Writer: w, Context: log.NewContext(nil).Str("host", host).Value()}
}
