package config

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// maxDocumentBytes bounds a decompressed document. A document of 490 hosts, 850
// backend servers and 2,000 customers takes 1.4 MB.
const maxDocumentBytes = 64 << 20

// Compress compresses an encoded document with gzip. Hosts and the object store keep
// and send documents in this form.
func Compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return b.Bytes(), nil
}

// Decompress reverses Compress. It fails if the data is truncated, or if the document
// has more than maxDocumentBytes.
func Decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	out, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	if len(out) > maxDocumentBytes {
		return nil, errors.Errorf("decompress configuration: more than %d bytes", maxDocumentBytes)
	}
	return out, nil
}
