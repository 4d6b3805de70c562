package entry

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// pipeListener accepts in-process connections, which use no file descriptors.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// BenchmarkIdleConnection reports the memory in bytes that a host needs for an idle
// client before its first statement, and after a statement of 20 kB. The client's TLS
// state is released before the measurement; the in-process connection itself is
// included.
func BenchmarkIdleConnection(b *testing.B) {
	for _, clients := range []int{1_000, 5_100, 50_000} {
		for _, used := range []bool{false, true} {
			b.Run(fmt.Sprintf("clients=%d/used=%t", clients, used), func(b *testing.B) {
				for range b.N {
					benchmarkIdle(b, clients, used)
				}
			})
		}
	}
}

func benchmarkIdle(b *testing.B, clients int, used bool) {
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	f := newFixture(b, func(o *Options) { o.Listener = l })
	statement, _ := (&pgproto3.Query{String: "select " + strings.Repeat("x", 20_000)}).Encode(nil)
	before := memoryInUse()
	conns := make([]net.Conn, clients)
	var logins errgroup.Group
	logins.SetLimit(8)
	for i := range conns {
		logins.Go(func() error {
			clientEnd, serverEnd := net.Pipe()
			l.conns <- serverEnd
			conns[i] = clientEnd
			c := f.login(clientEnd, "w")
			if used {
				f.sendAndAwaitReady(c, statement)
			}
			return nil
		})
	}
	assert.NilError(b, logins.Wait())
	f.home.starts = nil
	b.ReportMetric(float64(memoryInUse()-before)/float64(clients), "B/conn")
	runtime.KeepAlive(conns)
	for _, c := range conns {
		_ = c.Close()
	}
}

func memoryInUse() uint64 {
	// A sync.Pool keeps its contents for one more collection, and stacks shrink only
	// when they are scanned.
	for range 3 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
