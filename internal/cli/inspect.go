package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/report"
)

func (a *app) statusCommand() *ff.Command {
	flags := ff.NewFlagSet("status")
	a.jsonFlag(flags)
	host := newHostFlags(flags)
	return &ff.Command{
		Name:      "status",
		Usage:     "cranberryhinge status --host <IP:PORT> [--json]",
		ShortHelp: "show a host's view of the fleet",
		LongHelp:  "EXAMPLE\n  cranberryhinge status --host 127.0.0.1:7401",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			if err := host.require(); err != nil {
				return err
			}
			return a.status(ctx, host)
		},
	}
}

func fetchStatus(ctx context.Context, host *hostFlags) (report.Status, error) {
	var s report.Status
	err := host.call(ctx, func(ctx context.Context, c peerpb.PeerClient) error {
		resp, err := c.Status(ctx, &peerpb.StatusRequest{})
		if err != nil {
			return errors.Wrapf(err, "fetch status of %s", host.address)
		}
		return errors.Wrap(json.Unmarshal(resp.GetJson(), &s), "decode status")
	})
	return s, err
}

func (a *app) status(ctx context.Context, host *hostFlags) error {
	s, err := fetchStatus(ctx, host)
	if err != nil {
		return err
	}
	s.Configuration = ""
	if a.json {
		return a.printJSON(s)
	}
	a.printf("host %s, zone %s, incarnation %d, ready %t, draining %t\n", s.Host, s.Zone, s.Incarnation, s.Ready, s.Draining)
	a.printf("configuration version %d, keys fresh %t, lease left %.1f s\n", s.ConfigVersion, s.KeysFresh, s.LeaseLeft)
	a.printf("roles: %s\n\n", strings.Join(s.Roles, ", "))
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "GROUP\tTERM\tSERVER\tZONE\tROLE\tHOME\tNOTE")
	for _, g := range s.Groups {
		for _, server := range g.Servers {
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\n", g.Name, g.Term, server.Name, server.Zone, roleOf(g, server), server.Home, noteOf(server))
		}
	}
	fmt.Fprintln(w, "\nHOST\tZONE\tADDRESS\tREACHABLE\tLEAVING")
	for _, p := range s.Peers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\n", p.Name, p.Zone, p.Address, p.Reachable, p.Leaving)
	}
	return errors.Wrap(w.Flush(), "print status")
}

func roleOf(g report.Group, s report.Server) string {
	if s.Name == g.Primary {
		return "primary"
	}
	return "replica"
}

func noteOf(s report.Server) string {
	switch {
	case s.ZoneOut:
		return "zone out"
	case s.Leaving:
		return "leaving"
	default:
		return ""
	}
}

func (a *app) explainCommand() *ff.Command {
	flags := ff.NewFlagSet("explain")
	a.jsonFlag(flags)
	host := newHostFlags(flags)
	customer := flags.String(0, "customer", "", "customer; empty for a public route")
	route := flags.String(0, "route", "", "route")
	protocol := protocolFlag(flags)
	kind := flags.String(0, "kind", "", "read, write or transaction; --protocol line only")
	commit := flags.String(0, "commit", "", "TERM.NUMBER, the last commit of the session; --protocol line only")
	return &ff.Command{
		Name:      "explain",
		Usage:     "cranberryhinge explain --host <IP:PORT> --route <NAME> [--customer <NAME>] [--protocol line --kind <KIND>]",
		ShortHelp: "show which backend server serves a customer on a route, why, and what would be refused",
		LongHelp: "EXAMPLE\n  cranberryhinge explain --host 127.0.0.1:7401 --customer head-office --route release-north-status\n" +
			"  cranberryhinge explain --protocol line --host 127.0.0.1:7401 --customer acme --route orders --kind read --commit 3.1042",
		Flags: flags,
		Exec: func(ctx context.Context, _ []string) error {
			if err := host.require(); err != nil {
				return err
			}
			if *route == "" {
				return usagef("--route is missing")
			}
			if *protocol == protocolLine {
				return a.explainLine(ctx, host, *customer, *route, *kind, *commit)
			}
			if *kind != "" || *commit != "" {
				return usagef("--kind and --commit need --protocol line")
			}
			return a.explain(ctx, host, *customer, *route)
		},
	}
}

func (a *app) explain(ctx context.Context, host *hostFlags, customer, route string) error {
	s, err := fetchStatus(ctx, host)
	if err != nil {
		return err
	}
	if s.Configuration == "" {
		return errors.Errorf("host %s has no configuration yet", s.Host)
	}
	doc, err := config.Decode([]byte(s.Configuration))
	if err != nil {
		return errors.Wrap(err, "decode the host's configuration")
	}
	e := report.Explain(doc, s, customer, route)
	if a.json {
		return a.printJSON(e)
	}
	a.printf("customer %q on route %q, seen from host %s: allowed %t\n", customer, route, s.Host, e.Allowed)
	a.printf("candidates: %s\n", strings.Join(e.Candidates, ", "))
	for _, r := range e.Reasons {
		a.printf("  because %s\n", r)
	}
	for _, r := range e.Refusals {
		a.printf("  refused: %s\n", r)
	}
	return nil
}
