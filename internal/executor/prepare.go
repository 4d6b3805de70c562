package executor

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberryhinge/cranberryhinge/internal/guard"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// statement runs the caller's statement, again while the server is too busy.
func (c *call) statement(tx *transaction, inTx bool) (statement.Result, error) {
	for try := 0; ; try++ {
		if err := c.prepareConn(tx); err != nil {
			return statement.Result{}, err
		}
		results, err := c.exchange(tx, c.command(inTx))
		if err != nil {
			return statement.Result{}, err
		}
		r := results[0]
		again := r.Err != nil && try < busyRetries && c.repeatable(tx, inTx, r)
		if !again || c.x.opt.Clock()+busyPause >= c.deadline {
			return r, nil
		}
		c.x.opt.Counters.Retried(r.Err.Reason)
		if r.Err.Reason == verdict.ServerBusy {
			time.Sleep(busyPause << try)
		}
	}
}

// repeatable reports whether the statement did not run and can be sent again on
// the same connection.
func (c *call) repeatable(tx *transaction, inTx bool, r statement.Result) bool {
	want := statement.Idle
	if inTx {
		want = statement.InTransaction
	}
	if r.State != want {
		return false
	}
	switch r.Err.Reason {
	case verdict.ServerBusy:
		return true
	case verdict.UnknownStatement:
		clear(tx.conn.prepared)
		return true
	}
	return false
}

// command returns the caller's statement as it is sent.
func (c *call) command(inTx bool) statement.Command {
	kind := statement.Kind(c.req.GetKind())
	cmd := statement.Command{Statement: statement.Statement{ID: c.req.GetId(), Kind: kind, Text: c.req.GetText()}}
	if kind == statement.Execute {
		cmd.Name, cmd.Arguments = preparedName(c.shape()), c.req.GetArguments()
	}
	if !inTx {
		cmd.Floor = floor(c.req)
	}
	return cmd
}

func (c *call) shape() statement.Shape {
	return statement.Shape{Writes: c.req.GetShapeWrites(), Text: c.req.GetShape()}
}

// preparedName is the name of a shape on every connection, so that sessions
// share prepared statements.
func preparedName(s statement.Shape) string {
	prefix := "r"
	if s.Writes {
		prefix = "w"
	}
	return prefix + strconv.FormatUint(xxhash.Sum64String(s.Text), 36)
}

// prepareConn gives the connection the session's values and the prepared
// statement. A connection with values that the session does not have is reset.
func (c *call) prepareConn(tx *transaction) error {
	if c.foreignValues(tx.conn) || len(tx.conn.prepared) > maxPrepared {
		if err := tx.conn.Reset(c.wall(c.deadline)); err != nil {
			return verdict.New(verdict.NotRun, verdict.ConnectionLost, "reset: %v", err)
		}
		tx.conn.forget()
	}
	commands, after := c.setup(tx.conn)
	if len(commands) == 0 {
		return nil
	}
	results, err := c.exchange(tx, commands...)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.From(err).Reason, "prepare the connection: %v", err)
	}
	for _, r := range results {
		if r.Err != nil {
			return verdict.New(verdict.NotRun, verdict.ConnectionLost, "prepare the connection: %v", r.Err)
		}
	}
	after()
	tx.changed = tx.changed || len(c.req.GetValues()) > 0
	return nil
}

func (c *call) foreignValues(conn *conn) bool {
	if !guard.On(guard.Values) {
		return false
	}
	if conn.uncertain {
		return true
	}
	for name := range conn.values {
		if _, ok := c.req.GetValues()[name]; !ok {
			return true
		}
	}
	return false
}

// setup returns the commands that the connection needs and the change of what is
// known of it afterwards.
func (c *call) setup(conn *conn) (commands []statement.Command, after func()) {
	for name, value := range c.req.GetValues() {
		if old, ok := conn.values[name]; !ok || old != value {
			commands = append(commands, statement.Command{Statement: statement.Statement{Kind: statement.Set, Name: name, Arguments: value}})
		}
	}
	name := ""
	if statement.Kind(c.req.GetKind()) == statement.Execute {
		if n := preparedName(c.shape()); !conn.prepared[n] {
			name = n
			commands = append(commands, statement.Command{Statement: statement.Statement{Kind: statement.Prepare, Name: n, Shape: c.shape()}})
		}
	}
	return commands, func() {
		for n, v := range c.req.GetValues() {
			conn.values[n] = v
		}
		if name != "" {
			conn.prepared[name] = true
		}
	}
}
