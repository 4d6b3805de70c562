package telemetry

import (
	"io"

	"github.com/phuslu/log"
)

const (
	// logRing is the number of lines that wait for the output. At 200 lines a
	// second it covers an output that stands still for 10 s.
	logRing = 2048
	// logChunk is the largest number of bytes of one write.
	logChunk = 64 << 10
)

// LogRing passes log lines to an output without ever blocking the caller. Lines
// that find the ring full are dropped and counted.
type LogRing struct {
	lines    chan []byte
	done     chan struct{}
	counters *Counters
}

// NewLogRing starts a LogRing.
func NewLogRing(out io.Writer, counters *Counters) *LogRing {
	r := &LogRing{lines: make(chan []byte, logRing), done: make(chan struct{}), counters: counters}
	go r.write(out)
	return r
}

// WriteEntry implements log.Writer.
func (r *LogRing) WriteEntry(e *log.Entry) (int, error) {
	line := append([]byte(nil), e.Value()...)
	select {
	case r.lines <- line:
	default:
		r.counters.Add("log_lines_dropped", 1)
	}
	return len(line), nil
}

// Close writes what waits. Nothing may be logged after it.
func (r *LogRing) Close() {
	close(r.lines)
	<-r.done
}

// write joins the lines that wait into one write.
func (r *LogRing) write(out io.Writer) {
	defer close(r.done)
	buf := make([]byte, 0, logChunk)
	for line := range r.lines {
		buf = append(buf[:0], line...)
		for len(buf) < logChunk {
			select {
			case more, ok := <-r.lines:
				if ok {
					buf = append(buf, more...)
					continue
				}
			default:
			}
			break
		}
		if _, err := out.Write(buf); err != nil {
			r.counters.Add("log_write_failures", 1)
		}
	}
}
