package correlation

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cranberryhinge/cranberryhinge/internal/fixedseed"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// modelAnswer is an answer of the model's server. run is the number of the statement that
// it answers.
type modelAnswer struct {
	result   statement.Result
	complete bool
	run      int
}

// modelServer answers statements in order and sends some answers again, at any later time
// and any number of times, also while another statement is outstanding.
type modelServer struct {
	// draw returns a random number below n.
	draw     func(n int) int
	state    statement.State
	runs     int
	position uint64
	sent     []modelAnswer
	// pending holds what the connection has not read.
	pending []modelAnswer
	// freshReady is set if a repetition ends with the present state and position.
	freshReady bool
	repeats    bool
}

func (s *modelServer) send(a modelAnswer) {
	s.sent = append(s.sent, a)
	s.pending = append(s.pending, a)
}

// repeatSome sends earlier answers again.
func (s *modelServer) repeatSome() {
	for s.repeats && s.draw(4) == 0 {
		a := s.sent[s.draw(len(s.sent))]
		if s.freshReady {
			a.result.State, a.result.Position = s.state, statement.Position{Term: 1, Number: s.position}
		}
		s.pending = append(s.pending, a)
	}
}

// run runs a statement and reports whether it had an effect or a result.
func (s *modelServer) run(kind statement.Kind) (ran bool) {
	s.runs++
	r := statement.Result{}
	if e := s.drawError(kind); e != nil {
		r.Err = e
		ran = e.Verdict != verdict.NotRun && s.draw(2) == 0
		// A server may leave the transaction open after BUSY.
		if s.state == statement.InTransaction && (e.Reason != verdict.ServerBusy || s.draw(2) == 0) {
			s.state = statement.Failed
		}
	} else {
		ran = true
		switch {
		case isBegin(kind):
			s.state = statement.InTransaction
		case kind == statement.Commit || kind == statement.Rollback:
			s.state = statement.Idle
		}
	}
	if ran && isSigned(kind) {
		s.position++
		r.Signature, r.Rows = fmt.Sprint("sig", s.runs), []string{fmt.Sprint("row", s.runs)}
	}
	if ran && kind == statement.QueryStatus {
		r.Rows = []string{fmt.Sprint("primary 1.", s.position)}
	}
	r.State, r.Position = s.state, statement.Position{Term: 1, Number: s.position}
	s.send(modelAnswer{result: r, complete: true, run: s.runs})
	return ran
}

// drawError draws the error that a statement gets, or nil for a success. An unsigned
// statement other than BEGIN fails only in a transaction.
func (s *modelServer) drawError(kind statement.Kind) *verdict.Error {
	ends := kind == statement.Rollback || kind == statement.Commit
	switch {
	case s.state == statement.Failed && !ends:
		return verdict.New(verdict.NotRun, verdict.ProtocolViolation, "malformed")
	case s.draw(4) > 0, kind == statement.QueryStatus, !isSigned(kind) && !isBegin(kind) && s.state == statement.Idle:
		return nil
	}
	return []*verdict.Error{
		verdict.New(verdict.NotRun, verdict.ServerBusy, "busy i-1"), verdict.New(verdict.NotRun, verdict.NoFreshReplica, "lagging i-1"),
		verdict.New(verdict.NotRun, verdict.ReadOnly, "readonly i-1"), verdict.New(verdict.MayHaveRun, verdict.StatementFailed, "failed i-1"),
	}[s.draw(4)]
}

// nextKind draws a statement that the executor may send in the state.
func (s *modelServer) nextKind(state statement.State) statement.Kind {
	kinds := []statement.Kind{statement.Rollback}
	switch state {
	case statement.Idle:
		kinds = []statement.Kind{statement.Read, statement.Write, statement.Execute, statement.Begin, statement.BeginRead, statement.Set, statement.Prepare, statement.ResetSession}
	case statement.InTransaction:
		kinds = []statement.Kind{statement.Read, statement.Write, statement.Execute, statement.Commit, statement.Rollback, statement.Set}
	}
	return kinds[s.draw(len(kinds))]
}

// checker decides on an answer, as Tracker.Check does.
type checker func(kind statement.Kind, r statement.Result, complete bool) Finding

// exchange runs one statement on the connection. It returns what was accepted, or false if
// the connection has to be closed.
func (s *modelServer) exchange(check checker, kind statement.Kind) (accepted modelAnswer, ran, ok bool) {
	s.repeatSome()
	ran = s.run(kind)
	s.repeatSome()
	for len(s.pending) > 0 {
		a := s.pending[0]
		s.pending = s.pending[1:]
		switch check(kind, a.result, a.complete).Decision {
		case Accept:
			return a, ran, true
		case Refuse:
			return a, ran, false
		}
	}
	return modelAnswer{}, ran, false // the answer is overdue
}

// breach returns how an accepted answer breaks what callers were promised, if it does.
func (s *modelServer) breach(kind statement.Kind, a modelAnswer, ran, beginFailed bool) string {
	own := a.run == s.runs
	switch {
	case isSigned(kind) && a.result.Err == nil && (!own || a.result.Signature == ""):
		return fmt.Sprintf("statement %d of kind %s got the answer of %d", s.runs, kind, a.run)
	case a.result.Err != nil && a.result.Err.Verdict == verdict.NotRun && kind != statement.Rollback && (ran || !own):
		return fmt.Sprintf("statement %d of kind %s, ran %t, got the error of %d", s.runs, kind, ran, a.run)
	case isSigned(kind) && beginFailed && a.result.State == statement.InTransaction:
		return fmt.Sprintf("statement %d got an answer in a transaction that does not exist", s.runs)
	}
	return ""
}

// maxModelStatements is the number of statements on one connection of the model.
const maxModelStatements = 40

// runConnection runs statements on a connection to a server that repeats answers, until the
// connection has to be closed. It returns the first breach.
func runConnection(draw func(n int) int, tracker *Tracker, check checker) string {
	s := &modelServer{draw: draw, repeats: true, freshReady: draw(2) == 0}
	s.sent = []modelAnswer{{result: statement.Result{State: statement.Idle}}}
	beginFailed := false
	for range maxModelStatements {
		kind := s.nextKind(tracker.state)
		a, ran, ok := s.exchange(check, kind)
		if !ok {
			return ""
		}
		if isBegin(kind) {
			beginFailed = !ran
		}
		if breach := s.breach(kind, a, ran, beginFailed); breach != "" {
			return breach
		}
		if beginFailed && a.result.State != statement.InTransaction || kind == statement.Rollback && a.result.Err != nil {
			return "" // the executor closes the connection
		}
	}
	return ""
}

// Guards against a success of a statement with the row and signature of another one, and
// against a promise that a statement has not run which a repeated error makes.
func TestAcceptedAnswersBelongToTheirStatements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker Tracker
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		assert.Equal(t, runConnection(draw, &tracker, tracker.Check), "")
	})
}

// Shows that each rule is needed: the model finds a breach without it.
func TestModelFindsABreachWithoutEachRule(t *testing.T) {
	for _, rule := range []Reason{RepeatedSignature, MissingSignature, RepeatedError, OvertakenError, UnexpectedState} {
		breach := ""
		for seed := uint64(0); breach == "" && seed < 100_000; seed++ {
			rng := rand.New(rand.NewPCG(seed, 0))
			var tracker Tracker
			breach = runConnection(rng.IntN, &tracker, func(kind statement.Kind, r statement.Result, complete bool) Finding {
				f := tracker.Check(kind, r, complete)
				if f.Reason == rule {
					f = Finding{}
					tracker.record(kind, r)
				}
				return f
			})
		}
		assert.Assert(t, breach != "", "no breach without the rule on %s", rule)
		t.Logf("%s: %s", rule, breach)
	}
}

// Guards against connections that are closed, or answers that are skipped, although the
// server repeats nothing: only an error that the connection has seen, or one that may be
// the answer to an unsigned statement before, is refused.
func TestAnswersInOrderAreAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &modelServer{draw: func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }}
		var tracker Tracker
		for range maxModelStatements {
			kind := s.nextKind(s.state)
			a, _, ok := s.exchange(tracker.Check, kind)
			if !ok {
				assert.Assert(t, a.result.Err != nil)
				assert.Assert(t, tracker.unconfirmed || tracker.errors.contains(a.result.Err.Message))
				return
			}
			assert.Equal(t, a.run, s.runs)
		}
	})
}

// Guards against a memory that grows with the life of the connection.
func TestMemoryIsBounded(t *testing.T) {
	var tracker Tracker
	for i := range 3 * maxSignatures {
		tracker.Check(statement.Read, statement.Result{Signature: fmt.Sprint(i)}, true)
	}
	assert.Equal(t, len(tracker.signatures.hashes), maxSignatures)
	last := statement.Result{Signature: fmt.Sprint(3*maxSignatures - 1)}
	assert.Equal(t, tracker.Check(statement.Read, last, true).Decision, Skip)
}
