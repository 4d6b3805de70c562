package scale

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// processCPUTime returns the user and system time that the process has used.
func processCPUTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// measureCPU returns the processor time that the whole process uses while f runs.
func measureCPU(f func() error) (time.Duration, error) {
	runtime.GC()
	before, err := processCPUTime()
	if err != nil {
		return 0, err
	}
	if err := f(); err != nil {
		return 0, err
	}
	after, err := processCPUTime()
	return after - before, err
}

// memoryInUse returns the bytes that heap and stacks use. It collects garbage
// several times, because a sync.Pool keeps its items for one collection and stacks
// shrink only when a collection scans them.
func memoryInUse() float64 {
	for range 3 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// byteCounter counts the bytes read and written on the connections that it opens.
type byteCounter struct{ bytes atomic.Int64 }

func (c *byteCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, &c.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
