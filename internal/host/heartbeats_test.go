package host

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/correlation"
	"github.com/cranberryhinge/cranberryhinge/internal/failover"
	"github.com/cranberryhinge/cranberryhinge/internal/ownership"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// testSources are sources without configuration and servers.
type testSources struct{ catalog.Sources }

func (testSources) ConfigurationSpace() string      { return "conf" }
func (testSources) RegistrySpace() string           { return "reg" }
func (testSources) ZoneOut(string) (string, bool)   { return "", false }
func (testSources) IsConfiguration(key string) bool { return false }
func (testSources) DecodeServer(string, []byte) (catalog.Server, error) {
	return catalog.Server{}, io.ErrUnexpectedEOF
}

// noServers returns no dialer, for hosts that use no backend server.
func noServers(correlation.Observer) statement.Dialer { return nil }

// newTestHost returns a host that is assembled but not running.
func newTestHost(t testing.TB, name string) *Host {
	data, err := os.ReadFile("../../examples/line-host.yaml")
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "host.yaml")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	s, err := LoadSettings(path)
	assert.NilError(t, err)
	s.Name = name
	s.Listen = ListenSettings{Client: "127.0.0.1:0", Peer: "127.0.0.1:0", Ready: "127.0.0.1:0", Metrics: "127.0.0.1:0", Advertise: name + ":1"}
	h, err := New(s, Adapters{Sources: testSources{}, NewDialer: noServers}, io.Discard)
	assert.NilError(t, err)
	t.Cleanup(func() {
		for _, l := range h.listeners {
			_ = l.Close()
		}
		h.logWriter.Close()
	})
	return h
}

// largeFleetRows returns the rows of a large fleet that contains the named hosts.
func largeFleetRows(t testing.TB, zone string, names ...string) store.PeerChanges {
	c := store.PeerChanges{Full: true, Revision: 1000}
	for i := range 2 * ownership.LargeFleetHosts {
		names = append(names, fmt.Sprint("other-", i))
	}
	for i, name := range names {
		data, err := json.Marshal(ownership.Host{Name: name, Zone: zone, Address: name + ":1", Incarnation: 1, Capacity: 1})
		assert.NilError(t, err)
		c.Rows = append(c.Rows, store.Change{Row: store.Row{Key: rowSpace + "/host/" + name, Value: data, Revision: store.Revision(i + 1)}})
	}
	return c
}

func (h *Host) api() peerAPI { return peerAPI{calls: h.peerCalls, minters: h.minters} }

// Guards against rows, confirmations, samples and beats that a synchronizing heartbeat
// loses between two hosts, and against a confirmation that looks younger than it is.
func TestSyncHeartbeatTransfersStateOfPeer(t *testing.T) {
	relay, h := newTestHost(t, "relay"), newTestHost(t, "h")
	now := relay.clock()
	relay.peerCalls.followers[rowSpace].ApplyPeerChanges(now-time.Second, 0, largeFleetRows(t, h.settings.Zone, "relay", "h"))
	assert.Assert(t, relay.ownership.IsLargeFleet())
	relay.peerCalls.recordGroupState(relay.clock(), failover.State{
		Group: "g", Epoch: 3, Primary: "db", Age: 200 * time.Millisecond, Position: statement.Position{Term: 1, Number: 9},
	})
	req := h.peerCalls.newPulseRequest(syncHeartbeat)
	assert.Equal(t, len(req.GetSpaces()), 3)
	sent := h.clock()
	resp, err := relay.api().Pulse(context.Background(), req)
	assert.NilError(t, err)
	h.peerCalls.applyAnswer(sent, req, resp)
	assert.Equal(t, len(h.ownership.Others()), 2*ownership.LargeFleetHosts+1)
	summary, ok := h.peerCalls.followers[rowSpace].Summary()
	assert.Assert(t, ok && summary.Age >= time.Second && summary.Age < 2*time.Second, "%v", summary.Age)
	at := h.frontend.NewestSampleTime("g")
	assert.Assert(t, at <= sent-200*time.Millisecond && at > sent-time.Second)
	assert.Equal(t, h.directory.primaries["g"].server, "db")
	// The next answer contains only what has changed.
	req = h.peerCalls.newPulseRequest(syncHeartbeat)
	resp, err = relay.api().Pulse(context.Background(), req)
	assert.NilError(t, err)
	for _, s := range resp.GetSpaces() {
		assert.Equal(t, len(s.GetChanges()), 0)
		assert.Assert(t, s.GetComplete() || s.GetSpace() != rowSpace)
	}
	assert.Assert(t, proto.Size(resp) < 4096, "%d bytes", proto.Size(resp))
}

// Guards against an older state of a group that replaces a newer one because it came
// through another host, and against states that are passed on for ever.
func TestRelayedGroupStatesKeepTheirOrderAndAge(t *testing.T) {
	h := newTestHost(t, "h")
	now := h.clock()
	state := func(epoch uint64, server string, age time.Duration) failover.State {
		return failover.State{Group: "g", Epoch: epoch, Primary: server, Age: age, Position: statement.Position{Term: epoch, Number: 1}}
	}
	h.peerCalls.recordGroupState(now, state(2, "new", 100*time.Millisecond))
	h.peerCalls.recordGroupState(now, state(1, "old", 0))
	h.peerCalls.recordGroupState(now, state(2, "", 300*time.Millisecond))
	assert.Equal(t, h.directory.primaries["g"].server, "new")
	shared := h.peerCalls.knownStates(true)
	assert.Equal(t, len(shared), 1)
	assert.Assert(t, shared[0].Primary == "new" && shared[0].Age >= 100*time.Millisecond)
	assert.Equal(t, len(h.peerCalls.knownStates(false)), 0)
	h.peerCalls.groupStates["g"] = receivedState{state(2, "new", 0), h.clock() - maxSharedStateAge}
	assert.Equal(t, len(h.peerCalls.knownStates(true)), 0)
	h.peerCalls.recordGroupState(h.clock(), state(9, "future", -time.Second))
	assert.Equal(t, h.directory.primaries["g"].server, "new", "a state from the future was recorded")
}

func FuzzPulse(f *testing.F) {
	h := newTestHost(f, "h")
	h.peerCalls.followers[rowSpace].ApplyPeerChanges(h.clock(), 0, largeFleetRows(f, h.settings.Zone, "h"))
	req, err := proto.Marshal(h.peerCalls.newPulseRequest(syncHeartbeat))
	assert.NilError(f, err)
	f.Add(req)
	resp, err := h.api().Pulse(context.Background(), &peerpb.PulseRequest{Sync: true, Spaces: []*peerpb.SpaceRevision{{Space: rowSpace}}})
	assert.NilError(f, err)
	data, err := proto.Marshal(resp)
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var req peerpb.PulseRequest
		if proto.Unmarshal(data, &req) == nil {
			_, _ = h.api().Pulse(context.Background(), &req)
		}
		var resp peerpb.PulseResponse
		if proto.Unmarshal(data, &resp) == nil {
			h.peerCalls.applyAnswer(h.clock(), h.peerCalls.newPulseRequest(syncHeartbeat), &resp)
		}
	})
}
