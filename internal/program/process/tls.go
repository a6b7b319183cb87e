package process

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

// ErrNoCertificate is returned if the authority file contains no certificate.
var ErrNoCertificate = errors.New("no certificate in the file")

// peerOptions enables mutual TLS between processes if the settings name certificates.
func peerOptions(set settings.Settings) ([]peer.Option, error) {
	if set.TLSCertificateFile == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(set.TLSCertificateFile, set.TLSKeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "tlsCertificateFile")
	}
	raw, err := os.ReadFile(set.TLSAuthorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "tlsAuthorityFile")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(raw) {
		return nil, errors.Wrap(ErrNoCertificate, set.TLSAuthorityFile)
	}
	return []peer.Option{peer.WithTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	})}, nil
}
