package fleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// oracle states what must hold over all hosts and remembers the first fault.
type oracle struct {
	fault string

	versions map[*simHost]config.Version // of the running process
	pointers []pointerRow                // every value of the pointer, in order
	asks     map[string]config.Version   // writer id to base version
	accepted []acceptance
}

type acceptance struct {
	version config.Version
	at      time.Duration
}

func (o *oracle) init() {
	o.versions, o.asks = map[*simHost]config.Version{}, map[string]config.Version{}
}

func (o *oracle) fail(format string, args ...any) {
	if o.fault == "" {
		o.fault = fmt.Sprintf(format, args...)
	}
}

func (o *oracle) booted(h *simHost) { delete(o.versions, h) }

func publicationWriter(h *simHost, id uint64) string { return fmt.Sprintf("%s/%d", h.f.writer, id) }

func (o *oracle) asked(_ *sim, h *simHost, id uint64, base config.Version) {
	o.asks[publicationWriter(h, id)] = base
}

// published checks what an operator was told against the pointer's history.
func (o *oracle) published(s *sim, h *simHost, p Published) {
	w := publicationWriter(h, p.ID)
	var took config.Version
	for _, v := range o.pointers {
		if v.Writer == w {
			took = v.Version
		}
	}
	switch p.Result.Status {
	case PublishAccepted:
		if took != p.Result.Version {
			o.fail("%s: publication %s reported as version %d, took effect as %d", h.name, w, p.Result.Version, took)
		}
		o.accepted = append(o.accepted, acceptance{took, s.now})
	case PublishConflict, PublishRefused:
		if took != 0 {
			o.fail("%s: publication %s took effect as version %d and was reported as %q", h.name, w, took, p.Result.Reason)
		}
	}
}

// propagation is allowed on top of key_grace. It covers the difference in rate
// of the clocks.
const propagation = 200 * time.Millisecond

// observe checks everything that the host's step may have changed.
func (o *oracle) observe(s *sim, h *simHost) {
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
			if h.f.KeysFresh(now) && a.version > d.Version && s.now > a.at+h.f.keyGrace()+propagation {
				o.fail("%s: keys of version %d are in use %v after version %d was accepted", h.name, d.Version, s.now-a.at, a.version)
			}
		}
	}
	for i, p := range o.pointers {
		if i > 0 && p.Version != o.pointers[i-1].Version+1 || o.asks[p.Writer]+1 != p.Version {
			o.fail("version %d by %s, edited from %d, overwrote version %d", p.Version, p.Writer, o.asks[p.Writer], o.pointers[max(i, 1)-1].Version)
		}
	}
	o.holders(s, h)
}

// valid returns the roles that the host may act for now.
func valid(s *sim, h *simHost) map[string]bool {
	out := map[string]bool{}
	if h.down || h.paused {
		return out
	}
	now := h.clock(s.now)
	for _, r := range h.f.Held(now) {
		if r.Live || strings.HasPrefix(r.Name, "rate/") && h.f.MayMint(now, r.Name) {
			out[r.Name] = true
		}
	}
	return out
}

func (o *oracle) holders(s *sim, h *simHost) {
	mine := valid(s, h)
	if len(mine) == 0 {
		return
	}
	for _, p := range s.hosts {
		if p == h {
			continue
		}
		for r := range valid(s, p) {
			if mine[r] {
				o.fail("%v: %s and %s both hold %s", s.now, h.name, p.name, r)
			}
		}
	}
}
