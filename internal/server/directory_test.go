package server

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/poll"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/member"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// directoryFleet is a fleet of two hosts; the other one is home of every server.
type directoryFleet struct {
	member.Fleet
	document atomic.Pointer[config.Document]
}

func (f *directoryFleet) Self() member.Identity      { return member.Identity{Name: "here"} }
func (f *directoryFleet) Document() *config.Document { return f.document.Load() }
func (f *directoryFleet) Holder(string) (member.Identity, bool) {
	return member.Identity{Name: "there", Address: "there:1"}, true
}

// answersPrimary answers questions for the primary with what it holds.
type answersPrimary struct {
	server atomic.Pointer[string]
	term   atomic.Uint64
}

func (a *answersPrimary) set(server string, term uint64) {
	a.server.Store(&server)
	a.term.Store(term)
}

func (a *answersPrimary) PositionAt(context.Context, string, string, string) (*peerpb.PositionResponse, error) {
	return &peerpb.PositionResponse{Known: true, Primary: *a.server.Load(), Position: &peerpb.Token{Term: a.term.Load()}}, nil
}

// ownsNothing is the owner's view at a host without a home role in the group.
type ownsNothing struct{ ownerView }

func (ownsNothing) Primary(string) (string, uint64, bool) { return "", 0, false }

func twoServers(change func(*config.Document)) *config.Document {
	doc := &config.Document{}
	doc.Inventory.Groups = []config.Group{{Name: "north", Servers: []config.Server{
		{Name: "north-1", Zone: "kolkata"}, {Name: "north-2", Zone: "howrah"},
	}}}
	change(doc)
	return doc
}

// Guards against writes that wait for the maximum age of what a host knows about
// the primary, 5 s and so their whole deadline, after the primary was told to
// leave or its zone was taken out.
func TestPrimaryOutOfServiceIsAskedForAgain(t *testing.T) {
	for name, change := range map[string]func(*config.Document){
		"leaving":  func(doc *config.Document) { doc.Inventory.Groups[0].Servers[0].Leaving = true },
		"zone out": func(doc *config.Document) { doc.Rules.ZonesOut = []string{"kolkata"} },
	} {
		t.Run(name, func(t *testing.T) {
			fleet, answers := &directoryFleet{}, &answersPrimary{}
			fleet.document.Store(twoServers(func(*config.Document) {}))
			answers.set("north-1", 1)
			d := newDirectory(fleet, answers)
			d.owner = ownsNothing{}
			waitForPrimary(t, d, "north-1")
			fleet.document.Store(twoServers(change))
			answers.set("north-2", 2)
			waitForPrimary(t, d, "north-2")
		})
	}
}

func waitForPrimary(t *testing.T, d *directory, want string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server, _, ok := d.Primary("north"); ok && server == want {
			return poll.Success()
		}
		return poll.Continue("%s is not the primary yet", want)
	}, poll.WithTimeout(primaryMaxAge/2), poll.WithDelay(primaryRetry/10))
}
