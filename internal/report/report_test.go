package report

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// Guards against an explanation that differs from how the hosts route and refuse
// requests.
func TestExplain(t *testing.T) {
	doc := &config.Document{
		Inventory: config.Inventory{Customers: []config.Customer{{Name: "acme"}, {Name: "birch"}}},
		Rules: config.Rules{
			Routes: []config.Route{
				{Name: "w", Group: "g", Mode: config.RouteWrite, Customers: []string{"acme"}},
				{Name: "r", Group: "g", Mode: config.RouteRead, Staleness: config.Duration(time.Second)},
				{Name: "current", Group: "g", Mode: config.RouteRead},
				{Name: "open", Group: "g", Mode: config.RouteRead, Staleness: config.Duration(time.Second), Public: true},
			},
			Limits: []config.Limit{{Customer: "acme", Rate: 5, Burst: 9}},
		},
	}
	status := Status{Host: "a-1", Zone: "a", KeysFresh: true, Groups: []Group{{Name: "g", Term: 3, Primary: "p", Servers: []Server{
		{Name: "p", Zone: "a", Home: "a-1"},
		{Name: "far", Zone: "b", Home: "b-1"},
		{Name: "near", Zone: "a", Home: "a-2"},
		{Name: "gone", Zone: "c", Home: "c-1", ZoneOut: true},
	}}}}
	cases := []struct {
		customer, route string
		allowed         bool
		candidates      string
		wantText        string
	}{
		{"acme", "w", true, "p", "5/s with a burst of 9"},
		{"birch", "w", false, "p", "28000"},
		{"acme", "r", true, "near far p", "gone is in zone c, which is out"},
		{"acme", "current", true, "p", "staleness 0"},
		{"", "open", true, "near far p", "public"},
		{"nobody", "r", false, "near far p", "28P01"},
		{"acme", "missing", false, "", "3D000"},
	}
	for _, c := range cases {
		t.Run(c.customer+" "+c.route, func(t *testing.T) {
			e := Explain(doc, status, c.customer, c.route)
			assert.Equal(t, e.Allowed, c.allowed)
			assert.Equal(t, strings.Join(e.Candidates, " "), c.candidates)
			all := strings.Join(append(e.Reasons, e.Refusals...), "\n")
			assert.Assert(t, strings.Contains(all, c.wantText), all)
		})
	}
	status.KeysFresh = false
	assert.Assert(t, !Explain(doc, status, "acme", "r").Allowed)
	assert.Assert(t, Explain(doc, status, "", "open").Allowed)
}
