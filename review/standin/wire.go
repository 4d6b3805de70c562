package main

import (
	"bufio"
	"net"
	"strings"
	"time"
)

// lineConn reads and writes messages that end with CR LF. A line feed alone is part of
// the last field of a message.
type lineConn struct {
	net.Conn
	in *bufio.Reader
}

func newLineConn(c net.Conn) *lineConn { return &lineConn{Conn: c, in: bufio.NewReader(c)} }

func (c *lineConn) readMessage() (string, error) {
	var message strings.Builder
	for {
		part, err := c.in.ReadString('\n')
		if err != nil {
			return "", err
		}
		message.WriteString(part)
		if strings.HasSuffix(part, "\r\n") {
			return strings.TrimSuffix(message.String(), "\r\n"), nil
		}
	}
}

func (c *lineConn) write(text string) error {
	_, err := c.Write([]byte(text))
	return err
}

// answer is the answer to one QUERY.
type answer struct {
	rows      []string
	signature string
	code      string // of ERROR; empty after COMPLETE
	state     string // of READY
	position  string
}

// session is a client session.
type session struct {
	*lineConn
}

const startTimeout = 2 * time.Second

// openSession connects to a host and sends STARTUP. It returns the code of ERROR, if any.
func openSession(address, route, key string) (*session, string, error) {
	nc, err := net.DialTimeout("tcp", address, startTimeout)
	if err != nil {
		return nil, "", err
	}
	s := &session{newLineConn(nc)}
	_ = s.SetDeadline(time.Now().Add(startTimeout))
	if err := s.write("STARTUP " + route + " " + key + "\r\n"); err != nil {
		_ = s.Close()
		return nil, "", err
	}
	line, err := s.readMessage()
	if err != nil {
		_ = s.Close()
		return nil, "", err
	}
	if code, isError := strings.CutPrefix(line, "ERROR "); isError {
		_ = s.Close()
		code, _, _ = strings.Cut(code, " ")
		return nil, code, nil
	}
	_ = s.SetDeadline(time.Time{})
	return s, "", nil
}

// query sends a statement and reads its answer up to READY.
func (s *session) query(id, text string, deadline time.Time) (answer, error) {
	_ = s.SetDeadline(deadline)
	if err := s.write("QUERY " + id + " " + text + "\r\n"); err != nil {
		return answer{}, err
	}
	return s.readAnswer(deadline)
}

func (s *session) readAnswer(deadline time.Time) (answer, error) {
	_ = s.SetDeadline(deadline)
	var a answer
	for {
		line, err := s.readMessage()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, a.position, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}
