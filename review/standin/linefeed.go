package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["linefeed"] = runLineFeed }

// sent is a message that a client has sent.
type sent struct{ id, text string }

// runLineFeed lets clients write notes of two lines. A message ends with CR LF; the line
// feed within a note belongs to the last field.
func runLineFeed(rec *recorder, root string, trouble bool) (result, error) {
	w, err := newWorld(rec, root, []groupSettings{releaseDB("huvo11a")}, []route{signRoute("huvo11a")})
	if err != nil {
		return result{}, err
	}
	defer w.close()
	for _, zone := range zones {
		if _, err := w.startHost("front-"+zone+"-1", zone); err != nil {
			return result{}, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return result{}, err
	}
	if err := w.awaitServed("lepu270", 15*time.Second); err != nil {
		return result{}, err
	}
	separator := "; "
	if trouble {
		separator = "\n"
	}
	asked := map[string]string{}
	for n := range 30 {
		note := "hold the lot" + separator + "until the second check"
		if n%3 == 2 {
			note = "as entered on the old screen:" + separator + "QUERY 77 WRITE lot9 released"
		}
		m := sent{fmt.Sprintf("n%d", n), fmt.Sprintf("WRITE lot%d %s", n, note)}
		asked[m.id] = m.text
		s, code, err := openSession(w.hosts[n%len(w.hosts)].client, "lepu270", tenantKey)
		if err != nil || s == nil {
			return result{}, fmt.Errorf("no session: %s %v", code, err)
		}
		a, err := s.query(m.id, m.text, time.Now().Add(signDeadline))
		rec.printf("client: %s %q -> signature %q error %q %v", m.id, m.text, a.signature, a.code, err)
		time.Sleep(100 * time.Millisecond)
		_ = s.Close()
	}
	var r result
	for _, x := range w.groups[0].allRuns() {
		if strings.HasPrefix(x.id, "warm") {
			continue
		}
		r.checked++
		text, ok := asked[x.id]
		switch {
		case !ok:
			r.breaches = append(r.breaches, fmt.Sprintf("UNASKED: %s ran %s %q, an id that no client sent", x.database, x.id, x.text))
		case text != x.text:
			r.breaches = append(r.breaches, fmt.Sprintf("UNASKED: %s ran %s with changed text: %q, sent was %q", x.database, x.id, x.text, text))
		}
	}
	return r, nil
}
