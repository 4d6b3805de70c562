package server

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/member"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// fakeFleet is a fleet of two hosts, of which the remote one is home of every
// server.
type fakeFleet struct {
	member.Fleet
	document atomic.Pointer[config.Document]
}

func (f *fakeFleet) Self() member.Identity      { return member.Identity{Name: "here"} }
func (f *fakeFleet) Document() *config.Document { return f.document.Load() }
func (f *fakeFleet) Holder(string) (member.Identity, bool) {
	return member.Identity{Name: "there", Address: "there:1"}, true
}

// fakePositionClient answers every Position call with the primary and term that
// were set, as the owner of the group or, if notOwner is set, as another host that
// knows no owner.
type fakePositionClient struct {
	notOwner bool
	server   atomic.Pointer[string]
	term     atomic.Uint64
}

func (a *fakePositionClient) set(server string, term uint64) {
	a.server.Store(&server)
	a.term.Store(term)
}

func (a *fakePositionClient) PositionAt(context.Context, string, string, string) (*peerpb.PositionResponse, error) {
	return &peerpb.PositionResponse{
		Known: true, FromOwner: !a.notOwner, Primary: *a.server.Load(), Position: &peerpb.Token{Term: a.term.Load()},
	}, nil
}

// ownerWithoutRoles is the owner shell of a host without a home role in the group.
type ownerWithoutRoles struct{ ownerView }

func (ownerWithoutRoles) Primary(string) (string, uint64, bool) { return "", 0, false }

func documentWithTwoServers(change func(*config.Document)) *config.Document {
	doc := &config.Document{}
	doc.Inventory.Groups = []config.Group{{Name: "north", Servers: []config.Server{
		{Name: "north-1", Zone: "kolkata"}, {Name: "north-2", Zone: "howrah"},
	}}}
	change(doc)
	return doc
}

// Guards against a host that keeps using its cached primary after the primary was
// marked as leaving or its zone was taken out of service. The cache lasts for
// primaryMaxAge, 5 s, which is as long as the default deadline of a write.
func TestPrimaryOutOfServiceIsQueriedAgain(t *testing.T) {
	for name, change := range map[string]func(*config.Document){
		"leaving":  func(doc *config.Document) { doc.Inventory.Groups[0].Servers[0].Leaving = true },
		"zone out": func(doc *config.Document) { doc.Rules.ZonesOut = []string{"kolkata"} },
	} {
		t.Run(name, func(t *testing.T) {
			fleet, answers := &fakeFleet{}, &fakePositionClient{}
			fleet.document.Store(documentWithTwoServers(func(*config.Document) {}))
			answers.set("north-1", 1)
			d := newDirectory(fleet, answers)
			d.owner = ownerWithoutRoles{}
			waitForPrimary(t, d, "north-1")
			fleet.document.Store(documentWithTwoServers(change))
			answers.set("north-2", 2)
			waitForPrimary(t, d, "north-2")
		})
	}
}

// Guards against an answer without an owner that is taken for the owner's: its
// position covers no commits, and its primary may not be open.
func TestAnswerWithoutOwnerConfirmsNothing(t *testing.T) {
	fleet, answers := &fakeFleet{}, &fakePositionClient{notOwner: true}
	fleet.document.Store(documentWithTwoServers(func(*config.Document) {}))
	answers.set("north-1", 1)
	d := newDirectory(fleet, answers)
	d.owner = ownerWithoutRoles{}
	_, err := d.queryPosition(t.Context(), "north", "head-office")
	assert.ErrorIs(t, err, errOwnerUnavailable)
	_, _, ok := d.Primary("north")
	assert.Assert(t, !ok)
}

func waitForPrimary(t *testing.T, d *directory, want string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server, _, ok := d.Primary("north"); ok && server == want {
			return poll.Success()
		}
		return poll.Continue("%s is not the primary yet", want)
	}, poll.WithTimeout(primaryMaxAge/2), poll.WithDelay(primaryQueryInterval/10))
}
