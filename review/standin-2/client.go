package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func decode(r *http.Request, into any) error { return json.NewDecoder(r.Body).Decode(into) }

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+lastID.Add(1)) }

// client is a session of a caller.
type client struct {
	name string
	rec  *record
	nc   net.Conn
	in   *bufio.Reader
	// quiet leaves the rows out of the record.
	quiet bool
}

// reply is the answer to a statement.
type reply struct {
	id              string
	rows            []string
	signature       string
	code            string
	state, position string
	sent, answered  time.Duration
}

func (r reply) ok() bool { return r.code == "" }

// connect opens a session on a route.
func connect(rec *record, name, address, route, key string) (*client, error) {
	nc, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, rec: rec, nc: nc, in: bufio.NewReaderSize(nc, 64<<10)}
	_ = nc.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(nc, "STARTUP %s %s\r\n", route, key); err != nil {
		nc.Close()
		return nil, err
	}
	line, err := readLine(c.in)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = errors.New(line)
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

// query sends a statement and reads its answer.
func (c *client) query(text string, limit time.Duration) (reply, error) {
	r := reply{id: newID()}
	shown := text
	if len(shown) > 120 {
		shown = shown[:120] + "..."
	}
	c.rec.add(c.name, fmt.Sprintf("sends id=%s %s", r.id, shown))
	r.sent = c.rec.now()
	_ = c.nc.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(c.nc, "QUERY %s %s\r\n", r.id, text); err != nil {
		c.rec.add(c.name, fmt.Sprintf("no answer id=%s: %v", r.id, err))
		return r, err
	}
	for {
		line, err := readLine(c.in)
		if err != nil {
			c.rec.add(c.name, fmt.Sprintf("no answer id=%s: %v", r.id, err))
			return r, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.signature = rest
		case "ERROR":
			r.code = rest
		case "READY":
			r.state, r.position, _ = strings.Cut(rest, " ")
			r.answered = c.rec.now()
			outcome := "signature=" + r.signature
			if r.code != "" {
				outcome = "ERROR " + r.code
			}
			rows := fmt.Sprintf("%d rows", len(r.rows))
			if len(r.rows) == 1 && len(r.rows[0]) < 200 {
				rows = fmt.Sprintf("row %q", r.rows[0])
			}
			c.rec.add(c.name, fmt.Sprintf("answered id=%s %s %s READY %s %s", r.id, rows, outcome, r.state, r.position))
			return r, nil
		default:
			return r, fmt.Errorf("unexpected message %q", line)
		}
	}
}

func (c *client) close() {
	fmt.Fprint(c.nc, "TERMINATE\r\n")
	c.nc.Close()
}
