package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// LoadTLS reads the PEM files for mutual TLS between hosts. It returns nil, which
// means plaintext, if certificate is empty.
func LoadTLS(certificate, key, ca string) (*tls.Config, error) {
	if certificate == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Wrap(err, "load peer certificate")
	}
	data, err := os.ReadFile(ca)
	if err != nil {
		return nil, errors.Wrap(err, "read peer CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("peer CA file %s contains no certificate", ca)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
