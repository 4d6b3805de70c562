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

// cpuTime returns the processor time that the process has used.
func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// measureCPU returns the processor time of f in the whole process.
func measureCPU(f func() error) (time.Duration, error) {
	runtime.GC()
	before, err := cpuTime()
	if err != nil {
		return 0, err
	}
	if err := f(); err != nil {
		return 0, err
	}
	after, err := cpuTime()
	return after - before, err
}

// memoryInUse returns the memory of heap and stacks. Pools keep what they hold
// over one collection, and stacks shrink when they are scanned.
func memoryInUse() float64 {
	for range 3 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// counter counts the bytes of the connections that it opens.
type counter struct{ bytes atomic.Int64 }

func (c *counter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, &c.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
