package bench

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/faultnet"
	"github.com/cranberryhinge/cranberryhinge/internal/platform"
)

// Guards both deployments: every database is reachable under its inventory
// address with the cluster's credentials, every group replicates, and a
// partition cuts links and replication of exactly one zone.
func TestCluster(t *testing.T) {
	for _, d := range []Deployment{SundarbanGlow(), KandyanLiftHaul()} {
		t.Run(d.Name, func(t *testing.T) {
			c, err := StartCluster(d, DefaultClusterOptions())
			assert.NilError(t, err)
			t.Cleanup(func() { assert.NilError(t, c.Close()) })
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			inventory := c.Inventory()
			assert.Equal(t, len(inventory.Hosts), d.Hosts)
			for _, group := range inventory.Groups {
				for i, server := range group.Servers {
					address, err := c.Link(d.Zones[0], server.Zone, server.Address)
					assert.NilError(t, err)
					conn, err := dbconn.Dial(ctx, address, c.Credentials, "cranberryhinge/host-1/1")
					assert.NilError(t, err)
					defer conn.Close()
					status, err := conn.Status(ctx)
					assert.NilError(t, err)
					assert.Equal(t, status.Server, server.Name)
					assert.Equal(t, status.Role == dbconn.Primary, i == 0)
				}
			}
			waitHeld(t, c, 0, true)
			checkPlatform(t, c)
		})
	}
}

// waitHeld waits until the first primary's position is held by a majority, or
// checks that it does not become so.
func waitHeld(t *testing.T, c *Cluster, group int, want bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s := c.Groups[group][0].Status(); (s.Held == s.Position) == want {
			return poll.Success()
		}
		return poll.Continue("held is not %v", want)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(5*time.Second))
}

func checkPlatform(t *testing.T, c *Cluster) {
	t.Helper()
	ctx := context.Background()
	zone := c.Deployment.Zones[0]
	address, err := c.Link(zone, PlacePlatform, c.PlatformAddress)
	assert.NilError(t, err)
	client, err := platform.NewClient(platform.ClientOptions{Address: address, Host: "host-1", Timeout: 200 * time.Millisecond})
	assert.NilError(t, err)
	defer client.Close()
	tables := client.Access().Tables
	_, err = tables.Get(ctx, "host/host-1")
	assert.NilError(t, err)

	c.Partition(zone, faultnet.Silent)
	_, err = tables.Get(ctx, "host/host-1")
	assert.Assert(t, err != nil)
	primary := c.Groups[0][0]
	before := primary.Status().Held
	conn, err := dbconn.Dial(ctx, primary.Address(), c.Credentials, "test")
	assert.NilError(t, err)
	defer conn.Close()
	raw, err := conn.Hijack()
	assert.NilError(t, err)
	_, err = raw.Conn.Write(simpleQuery("INSERT INTO log (entry) VALUES ('cut off')"))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if primary.Record().Commits == 1 {
			return poll.Success()
		}
		return poll.Continue("no commit")
	}, poll.WithDelay(5*time.Millisecond))
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, primary.Status().Held, before)

	c.Heal()
	waitHeld(t, c, 0, true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := tables.Get(ctx, "host/host-1"); err != nil {
			return poll.Continue("platform: %v", err)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(5*time.Second))
}

// simpleQuery returns the bytes of a Query message.
func simpleQuery(sql string) []byte {
	size := len(sql) + 5
	return append([]byte{'Q', byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)}, sql+"\x00"...)
}
