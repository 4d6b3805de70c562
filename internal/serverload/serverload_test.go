package serverload

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a load that arrives late, through another host, and replaces a newer one.
func TestOlderLoadDoesNotReplaceNewerOne(t *testing.T) {
	table := NewTable()
	table.Record(Load{Server: "a", Running: 3, MeasuredAt: 5 * time.Second})
	table.Record(Load{Server: "a", Running: 1, MeasuredAt: 4 * time.Second})
	l, age, ok := table.Get(6*time.Second, "a")
	assert.Assert(t, ok)
	assert.Equal(t, l.Running, 3)
	assert.Equal(t, age, time.Second)
}

// Guards against decisions on a load that says nothing about the server any more.
func TestOldLoadIsUnknown(t *testing.T) {
	table := NewTable()
	table.Record(Load{Server: "a", MeasuredAt: time.Second})
	_, _, ok := table.Get(time.Second+MaxAge, "a")
	assert.Assert(t, !ok)
	assert.Equal(t, len(table.Shared(time.Second+MaxAge)), 0)
}

// Guards against heartbeats that carry the loads of all servers, and against hosts that go
// on avoiding a server that is free again.
func TestOnlyLoadsOfLimitedServersAreShared(t *testing.T) {
	table := NewTable()
	shared := func(now time.Duration) int { return len(table.Shared(now)) }
	for n := range maxUnlimitedShared {
		table.Record(Load{Server: fmt.Sprint("idle", n), Slots: 4, Running: 3, MeasuredAt: time.Second})
	}
	assert.Equal(t, shared(time.Second), maxUnlimitedShared)
	table.Record(Load{Server: "a", Slots: 4, Running: 3, MeasuredAt: time.Second})
	assert.Equal(t, shared(time.Second), 0)
	for i, l := range []Load{{Slots: 4, Running: 4}, {Slots: 4, Waiting: 1}, {Slots: 4, Pace: 2}, {Slots: 4, Ejected: true}} {
		l.Server, l.MeasuredAt = string(rune('b'+i)), time.Second
		table.Record(l)
		assert.Equal(t, shared(time.Second), i+1)
	}
	free := time.Second + MaxAge - time.Millisecond
	for n := range maxUnlimitedShared {
		table.Record(Load{Server: fmt.Sprint("idle", n), Slots: 4, MeasuredAt: free})
	}
	table.Record(Load{Server: "b", Slots: 4, MeasuredAt: free})
	assert.Equal(t, shared(free), 4)
}

// Guards against a load that looks younger after its way through the network.
func TestLoadKeepsItsAgeOnTheWay(t *testing.T) {
	l := Load{
		Server: "a", Slots: 4, Running: 2, Waiting: 1, FreeConnections: 7, Service: 3 * time.Millisecond, Pace: 2, Ejected: true,
		Wait: []time.Duration{time.Millisecond, 2 * time.Millisecond}, MeasuredAt: 900 * time.Millisecond,
	}
	got := Decode(50*time.Second, Encode(time.Second, l))
	assert.Equal(t, got.MeasuredAt, 50*time.Second-100*time.Millisecond)
	got.MeasuredAt = l.MeasuredAt
	assert.DeepEqual(t, got, l)
	assert.Equal(t, got.ExpectedWait(0), time.Millisecond)
	assert.Equal(t, got.ExpectedWait(5), 2*time.Millisecond)
}
