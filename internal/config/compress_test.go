package config

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a document that differs after its way through a peer or the
// object store, and against bytes cut off on the way that pass for a document.
func TestCompressRoundTrip(t *testing.T) {
	for _, data := range [][]byte{{}, []byte("rules: {}\n"), bytes.Repeat([]byte("- {name: a}\n"), 10_000)} {
		packed, err := Compress(data)
		assert.NilError(t, err)
		got, err := Decompress(packed)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, data))
		_, err = Decompress(packed[:len(packed)-1])
		assert.ErrorContains(t, err, "decompress configuration")
	}
	_, err := Decompress([]byte("rules: {}\n"))
	assert.ErrorContains(t, err, "decompress configuration")
}

// Guards against a small message that expands without bound.
func TestDecompressIsBounded(t *testing.T) {
	packed, err := Compress(make([]byte, maxDocumentBytes+1))
	assert.NilError(t, err)
	_, err = Decompress(packed)
	assert.ErrorContains(t, err, "more than")
}
