package config

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against documents that change when they pass through a peer or the object
// store, and against accepting truncated data as a document.
func TestCompressRoundTrip(t *testing.T) {
	for _, data := range [][]byte{{}, []byte("rules: {}\n"), bytes.Repeat([]byte("- {name: a}\n"), 10_000)} {
		compressed, err := Compress(data)
		assert.NilError(t, err)
		got, err := Decompress(compressed)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, data))
		_, err = Decompress(compressed[:len(compressed)-1])
		assert.ErrorContains(t, err, "decompress configuration")
	}
	_, err := Decompress([]byte("rules: {}\n"))
	assert.ErrorContains(t, err, "decompress configuration")
}

// Guards against unbounded memory use by a small message that decompresses to a very
// large document.
func TestDecompressLimitsOutputSize(t *testing.T) {
	compressed, err := Compress(make([]byte, maxDocumentBytes+1))
	assert.NilError(t, err)
	_, err = Decompress(compressed)
	assert.ErrorContains(t, err, "more than")
}
