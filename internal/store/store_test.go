package store

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const testTimeout = 200 * time.Millisecond

// startClient serves the fake on the loopback interface and returns a client
// for it.
func startClient(t *testing.T, fake *Fake, host string) Services {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, listener, fake) }()
	client, err := NewClient(ClientOptions{Address: listener.Addr().String(), Host: host, Timeout: testTimeout})
	assert.NilError(t, err)
	t.Cleanup(func() {
		client.Close()
		cancel()
		assert.NilError(t, <-done)
	})
	return client.Services()
}

// runWithFakeAndGRPC runs a test against the fake directly and over gRPC.
func runWithFakeAndGRPC(t *testing.T, settings FakeSettings, test func(*testing.T, *Fake, Services)) {
	t.Run("fake", func(t *testing.T) {
		fake := NewFake(settings)
		test(t, fake, fake.ServicesFor("h1"))
	})
	t.Run("grpc", func(t *testing.T) {
		fake := NewFake(settings)
		test(t, fake, startClient(t, fake, "h1"))
	})
}

// Guards against services that violate their contract for revisions, conflicts,
// key prefixes, or missing rows and objects.
func TestServiceContract(t *testing.T) {
	runWithFakeAndGRPC(t, FakeSettings{}, func(t *testing.T, fake *Fake, p Services) {
		ctx := context.Background()
		row, err := p.Tables.Get(ctx, "host/a")
		assert.NilError(t, err)
		assert.DeepEqual(t, row, Row{Key: "host/a"})
		first, err := p.Tables.CompareAndSwap(ctx, "host/a", 0, []byte("1"))
		assert.NilError(t, err)
		_, err = p.Tables.CompareAndSwap(ctx, "host/a", 0, []byte("2"))
		assert.Assert(t, errors.Is(err, ErrConflict))
		second, err := p.Tables.CompareAndSwap(ctx, "host/b", 0, []byte("3"))
		assert.NilError(t, err)
		assert.Assert(t, second > first)
		_, err = p.Tables.CompareAndSwap(ctx, "role/a", 0, []byte("4"))
		assert.NilError(t, err)
		rows, err := p.Tables.Scan(ctx, "host/", first)
		assert.NilError(t, err)
		assert.DeepEqual(t, rows, []Row{{Key: "host/b", Value: []byte("3"), Revision: second}})
		assert.Assert(t, errors.Is(p.Tables.Delete(ctx, "host/b", first), ErrConflict))
		assert.NilError(t, p.Tables.Delete(ctx, "host/b", second))
		third, err := p.Tables.CompareAndSwap(ctx, "host/b", 0, []byte("5"))
		assert.NilError(t, err)
		assert.Assert(t, third > second, "a row written again must not repeat a revision")

		_, err = p.Objects.Get(ctx, "o")
		assert.Assert(t, errors.Is(err, ErrNotFound))
		assert.NilError(t, p.Objects.Put(ctx, "o", []byte("data")))
		data, err := p.Objects.Get(ctx, "o")
		assert.NilError(t, err)
		assert.Equal(t, string(data), "data")
		assert.DeepEqual(t, fake.CountsOf("h1"), Counts{Reads: 4, Writes: 8})
	})
}

// Guards against faults that take effect when they must not, or the reverse:
// lost responses, delayed effects, outages and disconnected hosts.
func TestInjectedFaults(t *testing.T) {
	runWithFakeAndGRPC(t, FakeSettings{}, func(t *testing.T, fake *Fake, p Services) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		fake.LoseAnswers(1)
		_, err := p.Tables.CompareAndSwap(ctx, "k", 0, []byte("lost"))
		assert.Assert(t, err != nil && !errors.Is(err, ErrConflict))
		row, err := p.Tables.Get(ctx, "k")
		assert.NilError(t, err)
		assert.Equal(t, string(row.Value), "lost")

		fake.DelayEffects(1, 20*time.Millisecond)
		_, err = p.Tables.CompareAndSwap(ctx, "k", row.Revision, []byte("late"))
		assert.Assert(t, err != nil)
		time.Sleep(100 * time.Millisecond)
		row, err = p.Tables.Get(ctx, "k")
		assert.NilError(t, err)
		assert.Equal(t, string(row.Value), "late")

		fake.SetOutage(true)
		_, err = p.Tables.CompareAndSwap(ctx, "k", row.Revision, []byte("outage"))
		assert.Assert(t, err != nil)
		fake.SetOutage(false)

		fake.DisconnectHosts("h1")
		shortCtx, stop := context.WithTimeout(ctx, 50*time.Millisecond)
		defer stop()
		_, err = p.Tables.CompareAndSwap(shortCtx, "k", row.Revision, []byte("cut"))
		assert.Assert(t, err != nil)
		fake.ReconnectHosts("h1")
		again, err := p.Tables.Get(ctx, "k")
		assert.NilError(t, err)
		assert.DeepEqual(t, again, row)
	})
}

// Guards against a call that never ends because its caller sets no deadline,
// and against keeping a connection that gets no response.
func TestClientDeadline(t *testing.T) {
	fake := NewFake(FakeSettings{})
	p := startClient(t, fake, "h1")
	fake.DisconnectHosts("h1")
	for range maxConsecutiveTimeouts + 1 {
		begin := time.Now()
		_, err := p.Tables.Get(context.Background(), "k")
		assert.Assert(t, err != nil)
		assert.Assert(t, time.Since(begin) < 5*testTimeout)
	}
	fake.ReconnectHosts("h1")
	_, err := p.Tables.Get(context.Background(), "k")
	assert.NilError(t, err)
}

// Guards against a host list that callers receive before the lag has passed, or
// not at all.
func TestHostListLags(t *testing.T) {
	settings := FakeSettings{HostLag: 100 * time.Millisecond, Hosts: []ListedHost{{Name: "h1", Address: "127.0.0.1:1", Zone: "z1"}}}
	runWithFakeAndGRPC(t, settings, func(t *testing.T, fake *Fake, p Services) {
		hostCount := func() int {
			hosts, err := p.Hosts.Hosts(context.Background())
			assert.NilError(t, err)
			return len(hosts)
		}
		fake.SetHosts(ListedHost{Name: "h1"}, ListedHost{Name: "h2", Leaving: true})
		assert.Equal(t, hostCount(), 1)
		time.Sleep(150 * time.Millisecond)
		assert.Equal(t, hostCount(), 2)
	})
}
