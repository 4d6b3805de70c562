package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/cranberryhinge/cranberryhinge/internal/frontend"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// explainLine prints how a host for the line protocol would route a request.
func (a *app) explainLine(ctx context.Context, host *hostFlags, customer, route, kind, commit string) error {
	if kind == "" {
		return usagef("--kind is missing: read, write or transaction")
	}
	req := &peerpb.ExplainRequest{Customer: customer, Route: route, Kind: kind}
	if commit != "" {
		token, err := parseCommit(commit)
		if err != nil {
			return err
		}
		req.Commit = token
	}
	var e frontend.Explanation
	err := host.call(ctx, func(ctx context.Context, c peerpb.PeerClient) error {
		resp, err := c.Explain(ctx, req)
		switch status.Code(err) {
		case codes.OK:
			return errors.Wrap(json.Unmarshal(resp.GetJson(), &e), "decode explanation")
		case codes.NotFound:
			return usagef("%s", status.Convert(err).Message())
		case codes.Unimplemented:
			return errors.Errorf("host %s does not serve the line protocol, or is too old", host.address)
		}
		return errors.Wrapf(err, "explain at %s", host.address)
	})
	if err != nil {
		return err
	}
	if a.json {
		return a.printJSON(e)
	}
	return a.printExplanation(e)
}

// parseCommit parses TERM.NUMBER.
func parseCommit(text string) (*peerpb.Token, error) {
	term, number, ok := strings.Cut(text, ".")
	t, termErr := strconv.ParseUint(term, 10, 64)
	n, numberErr := strconv.ParseUint(number, 10, 64)
	if !ok || termErr != nil || numberErr != nil {
		return nil, usagef("--commit %q is not TERM.NUMBER", text)
	}
	return &peerpb.Token{Term: t, Position: n}, nil
}

func (a *app) printExplanation(e frontend.Explanation) error {
	a.printf("%s of customer %q on route %q (group %s, mode %s), seen from host %s\n", e.Kind, e.Customer, e.Route, e.Group, e.Mode, e.Host)
	if e.Admitted {
		a.printf("admitted: yes\n")
	} else {
		a.printf("admitted: no, %s: %s\n", e.Reason, e.Refusal)
	}
	a.printf("  configuration version %d, confirmed %.0f ms ago, keys fresh %t\n", e.ConfigVersion, e.ConfigAge, e.KeysFresh)
	switch {
	case e.Rate > 0:
		a.printf("  rate limit %g requests/s; tokens are not looked at\n", e.Rate)
	case !e.RateLimited:
		a.printf("  no rate limit\n")
	}
	a.printf("  throttled here: %.0f %%\n", 100*e.ThrottledShare)
	if e.PrimaryOnly != "" {
		a.printf("primary only: %s\n", e.PrimaryOnly)
	} else {
		a.printf("floor: %d.%d, staleness bound %.0f ms\n", e.Floor.Term, e.Floor.Number, e.StalenessBound)
	}
	if e.SampleAge != nil {
		a.printf("newest log position sample: %.0f ms old\n", *e.SampleAge)
	} else {
		a.printf("newest log position sample: none\n")
	}
	a.printf("goes to: server %s at home host %s\n", orNone(e.Server), orNone(e.Home))
	if e.Server == "" && e.Home != "" {
		a.printf("  this host has not heard of a primary; the owner of the group chooses the server\n")
	}
	if e.Spill != "" {
		a.printf("  not the first by zone, because of: %s\n", e.Spill)
	}
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nPLACE\tSERVER\tZONE\tHOME\tFIRST\tRUNNING\tWAITING\tPACE\tLOAD AGE")
	for _, s := range e.Servers {
		place := "out"
		if s.Place > 0 {
			place = strconv.Itoa(s.Place)
		}
		load := "-\t-\t-\tunknown"
		if s.LoadAge != nil {
			load = fmt.Sprintf("%d/%d\t%d\t%s\t%.0f ms", s.Running, s.Slots, s.Waiting, paceOf(s), *s.LoadAge)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.0f %%\t%s\n", place, s.Server, s.Zone, orNone(s.Home), 100*s.FirstShare, load)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print explanation")
	}
	a.printf("\n")
	for _, s := range e.Servers {
		for _, o := range s.Obstacles {
			effect := "behind"
			switch {
			case o.LeftOut:
				effect = "left out"
			case s.Place == 1:
				effect = "noted"
			}
			a.printf("%s: %s, %s: %s\n", s.Server, effect, o.Reason, o.Detail)
		}
	}
	return nil
}

func paceOf(s frontend.ExplainedServer) string {
	if s.Pace == 0 {
		return "-"
	}
	return strconv.Itoa(s.Pace)
}

func orNone(name string) string {
	if name == "" {
		return "(none)"
	}
	return name
}
