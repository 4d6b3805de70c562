package telemetry

import (
	"io"

	"github.com/phuslu/log"
)

const (
	// logQueueLines is the maximum number of lines queued for the output. At 200
	// lines per second it bridges an output that blocks for 10 s.
	logQueueLines = 2048
	// logBatchBytes is the size at which a batch of lines is written without adding
	// further queued lines.
	logBatchBytes = 64 << 10
)

// AsyncLogWriter writes log lines to an output asynchronously and never blocks the
// caller. Lines that arrive while its queue is full are dropped and counted in the
// counter log_lines_dropped.
type AsyncLogWriter struct {
	lines    chan []byte
	done     chan struct{}
	counters *Counters
}

// NewAsyncLogWriter starts an AsyncLogWriter that writes to out. Close stops it.
func NewAsyncLogWriter(out io.Writer, counters *Counters) *AsyncLogWriter {
	w := &AsyncLogWriter{lines: make(chan []byte, logQueueLines), done: make(chan struct{}), counters: counters}
	go w.writeLoop(out)
	return w
}

// WriteEntry implements log.Writer. It never returns an error.
func (w *AsyncLogWriter) WriteEntry(e *log.Entry) (int, error) {
	line := append([]byte(nil), e.Value()...)
	select {
	case w.lines <- line:
	default:
		w.counters.Add("log_lines_dropped", 1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the AsyncLogWriter. No line may be logged
// afterwards.
func (w *AsyncLogWriter) Close() {
	close(w.lines)
	<-w.done
}

// writeLoop writes the lines until Close. It joins lines that are queued at the same
// time into one write.
func (w *AsyncLogWriter) writeLoop(out io.Writer) {
	defer close(w.done)
	buf := make([]byte, 0, logBatchBytes)
	for line := range w.lines {
		buf = append(buf[:0], line...)
		for len(buf) < logBatchBytes {
			select {
			case more, ok := <-w.lines:
				if ok {
					buf = append(buf, more...)
					continue
				}
			default:
			}
			break
		}
		if _, err := out.Write(buf); err != nil {
			w.counters.Add("log_write_failures", 1)
		}
	}
}
