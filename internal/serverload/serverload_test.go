package serverload

import (
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
	assert.Equal(t, len(table.Recent(time.Second+MaxAge)), 0)
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
