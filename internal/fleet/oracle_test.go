package fleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// oracle checks the invariants over all hosts and keeps the first violation.
type oracle struct {
	fault string

	versions     map[*simHost]config.Version // of the running process of each host
	pointers     []pointerRow                // every value of the pointer row, in order
	publishBases map[string]config.Version   // by writer id
	accepted     []acceptance
}

type acceptance struct {
	version config.Version
	at      time.Duration
}

func (o *oracle) init() {
	o.versions, o.publishBases = map[*simHost]config.Version{}, map[string]config.Version{}
}

func (o *oracle) fail(format string, args ...any) {
	if o.fault == "" {
		o.fault = fmt.Sprintf(format, args...)
	}
}

func (o *oracle) processStarted(h *simHost) { delete(o.versions, h) }

func publicationWriter(h *simHost, id uint64) string { return fmt.Sprintf("%s/%d", h.f.writer, id) }

func (o *oracle) publishRequested(_ *sim, h *simHost, id uint64, base config.Version) {
	o.publishBases[publicationWriter(h, id)] = base
}

// checkPublished checks the result reported to the operator against all values that
// the pointer row has had.
func (o *oracle) checkPublished(s *sim, h *simHost, p PublishEnded) {
	w := publicationWriter(h, p.ID)
	var effective config.Version
	for _, v := range o.pointers {
		if v.Writer == w {
			effective = v.Version
		}
	}
	switch p.Result.Status {
	case PublishAccepted:
		if effective != p.Result.Version {
			o.fail("%s: publication %s reported as version %d, took effect as %d", h.name, w, p.Result.Version, effective)
		}
		o.accepted = append(o.accepted, acceptance{effective, s.now})
	case PublishConflict, PublishRefused:
		if effective != 0 {
			o.fail("%s: publication %s took effect as version %d and was reported as %q", h.name, w, effective, p.Result.Reason)
		}
	}
}

// clockTolerance is added to key_grace to cover the difference in rate between
// clocks.
const clockTolerance = 200 * time.Millisecond

// check verifies every invariant that the host's last step may have affected.
func (o *oracle) check(s *sim, h *simHost) {
	if h.down || h.paused {
		return
	}
	now := h.clock(s.now)
	if d, _ := h.f.Document(); d != nil {
		if d.Version < o.versions[h] {
			o.fail("%s: version fell from %d to %d", h.name, o.versions[h], d.Version)
		}
		o.versions[h] = d.Version
		for _, a := range o.accepted {
			if h.f.KeysFresh(now) && a.version > d.Version && s.now > a.at+h.f.keyGrace()+clockTolerance {
				o.fail("%s: keys of version %d are in use %v after version %d was accepted", h.name, d.Version, s.now-a.at, a.version)
			}
		}
	}
	for i, p := range o.pointers {
		if i > 0 && p.Version != o.pointers[i-1].Version+1 || o.publishBases[p.Writer]+1 != p.Version {
			o.fail("version %d by %s, edited from %d, overwrote version %d", p.Version, p.Writer, o.publishBases[p.Writer], o.pointers[max(i, 1)-1].Version)
		}
	}
	o.checkHolders(s, h)
}

// usableRoles returns the roles that the host may act for now.
func usableRoles(s *sim, h *simHost) map[string]bool {
	out := map[string]bool{}
	if h.down || h.paused {
		return out
	}
	now := h.clock(s.now)
	for _, r := range h.f.HeldRoles(now) {
		if r.LeaseLive || strings.HasPrefix(r.Name, "rate/") && h.f.MayMint(now, r.Name) {
			out[r.Name] = true
		}
	}
	return out
}

// checkHolders checks that no other host may act for a role of the host.
func (o *oracle) checkHolders(s *sim, h *simHost) {
	mine := usableRoles(s, h)
	if len(mine) == 0 {
		return
	}
	for _, p := range s.hosts {
		if p == h {
			continue
		}
		for r := range usableRoles(s, p) {
			if mine[r] {
				o.fail("%v: %s and %s both hold %s", s.now, h.name, p.name, r)
			}
		}
	}
}
