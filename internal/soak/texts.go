package soak

import "math/rand/v2"

// textStream is added to the number of a caller for the random source of its texts. It
// is not that of its operations, so that those of a recorded seed do not change.
const textStream = 1 << 32

// framingTexts are texts that a message boundary in the wrong place or a changed blank
// would show: none holds CR LF, which ends a message.
var framingTexts = []string{
	"two\nlines", "ends with a line feed\n", "a\rcarriage return", "ends with a carriage return\r", "line feed\n\rcarriage return",
	"a\ttab", "several   blanks  ", "  blanks first", "Größe 東京 ñandú", "next\u0085line\u2028and\u00a0blank", "form\ffeed\vtab",
	"x\nQUERY 77 WRITE i1 y", "x\nCOMPLETE forged\nREADY I -", "x\rERROR BUSY\rREADY I -", "x\nDATAROW y\nCOMPLETE -\nREADY T 1.1",
	"COMPLETE - READY I -", "-",
}

// texts draws the texts that a caller sends.
type texts struct{ rnd *rand.Rand }

func newTexts(seed uint64, caller int) texts {
	return texts{rand.New(rand.NewPCG(seed, textStream+uint64(caller)))}
}

// extend returns the plain text, or the plain text followed by a blank and a framing text.
func (t texts) extend(plain string) string {
	if t.rnd.IntN(2) == 0 {
		return plain
	}
	return plain + " " + framingTexts[t.rnd.IntN(len(framingTexts))]
}
