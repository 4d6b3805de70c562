package telemetry

import (
	"io"
	"sync"

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
// caller. Lines that arrive while its queue is full, or after Close, are dropped and counted
// in the counter log_lines_dropped.
type AsyncLogWriter struct {
	lines    chan []byte
	done     chan struct{}
	counters *Counters
	// mu guards closed and the closing of lines.
	mu     sync.RWMutex
	closed bool
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
	if !w.enqueue(line) {
		w.counters.Add("log_lines_dropped", 1)
	}
	return len(line), nil
}

// enqueue reports whether the line was added to the queue.
func (w *AsyncLogWriter) enqueue(line []byte) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return false
	}
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

// Close writes the queued lines and stops the AsyncLogWriter.
func (w *AsyncLogWriter) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
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
