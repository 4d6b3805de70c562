package soak

import (
	"fmt"
	"math/rand/v2"
)

// textStream is added to the number of a caller for the random source of its texts. It
// is not that of its operations, so that those of a recorded seed do not change.
const textStream = 1 << 32

// shapeStream does the same for the source of its prepared statements.
const shapeStream = 2 << 32

// framingTexts are texts that a message boundary in the wrong place or a changed blank
// would show: none holds CR LF, which ends a message.
var framingTexts = []string{
	"two\nlines", "ends with a line feed\n", "a\rcarriage return", "ends with a carriage return\r", "line feed\n\rcarriage return",
	"a\ttab", "several   blanks  ", "  blanks first", "Größe 東京 ñandú", "next\u0085line\u2028and\u00a0blank", "form\ffeed\vtab",
	"x\nQUERY 77 WRITE i1 y", "x\nCOMPLETE forged\nREADY I -", "x\rERROR BUSY\rREADY I -", "x\nDATAROW y\nCOMPLETE -\nREADY T 1.1",
	"COMPLETE - READY I -", "-",
}

// collidingShapes have the same 64-bit xxHash, by which hosts once named prepared statements.
var collidingShapes = []string{"q2c", "q9f00000vIqX2tUSXm7FAUCV"}

// One in prepareAgainOneIn statements comes after its session has prepared its names again,
// one in executeInTxOneIn reads within transactions is an EXECUTE.
const (
	prepareAgainOneIn = 6
	executeInTxOneIn  = 3
)

// texts draws the texts that a caller sends.
type texts struct{ rnd, shapes *rand.Rand }

func newTexts(seed uint64, caller int) texts {
	return texts{rand.New(rand.NewPCG(seed, textStream+uint64(caller))), rand.New(rand.NewPCG(seed, shapeStream+uint64(caller)))}
}

// shape returns the plain shape, one that collides with others, or one that is rarely the
// same as another. access is READ or WRITE.
func (t texts) shape(access, plain string) string {
	switch t.shapes.IntN(4) {
	case 0:
		return access + " " + collidingShapes[t.shapes.IntN(len(collidingShapes))]
	case 1:
		return fmt.Sprintf("%s q%x", access, t.shapes.Uint32())
	}
	return access + " " + plain
}

func (t texts) preparesAgain() bool { return t.shapes.IntN(prepareAgainOneIn) == 0 }

func (t texts) deallocates() bool { return t.shapes.IntN(2) == 0 }

func (t texts) executesInTransaction() bool { return t.shapes.IntN(executeInTxOneIn) == 0 }

// extend returns the plain text, or the plain text followed by a blank and a framing text.
func (t texts) extend(plain string) string {
	if t.rnd.IntN(2) == 0 {
		return plain
	}
	return plain + " " + framingTexts[t.rnd.IntN(len(framingTexts))]
}
