package member

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// countingConn counts the bytes read and written.
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

// fixedExchangeServer answers every exchange with the same vector.
type fixedExchangeServer struct {
	peerpb.UnimplementedPeerServer
	answer *peerpb.Vector
}

func (e fixedExchangeServer) Exchange(context.Context, *peerpb.Vector) (*peerpb.Vector, error) {
	return e.answer, nil
}

// BenchmarkExchangeGRPC measures a heartbeat exchange over gRPC of the size that a
// fleet of 490 hosts needs: the bytes above TCP in both directions, and the CPU time
// of client and server together.
func BenchmarkExchangeGRPC(b *testing.B) {
	req := &peerpb.Vector{From: "host", Digests: make([]uint64, 15)}
	res := &peerpb.Vector{From: "host", Ages: make([]uint32, 490)}
	for i := range res.Ages {
		res.Ages[i] = 4000 // a varint of two bytes
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	srv := grpc.NewServer()
	peerpb.RegisterPeerServer(srv, fixedExchangeServer{answer: res})
	go func() { _ = srv.Serve(l) }()
	defer srv.Stop()
	var bytes atomic.Int64
	c, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", a)
			return countingConn{conn, &bytes}, err
		}))
	assert.NilError(b, err)
	defer func() { _ = c.Close() }()
	client := peerpb.NewPeerClient(c)
	call := func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := client.Exchange(ctx, req)
		assert.NilError(b, err)
	}
	call()
	bytes.Store(0)
	cpu, calls := cpuTime(b), 0
	for b.Loop() {
		call()
		calls++
	}
	b.ReportMetric(float64(bytes.Load())/float64(calls), "wireB/op")
	b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/float64(calls), "cpu-us/op")
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
