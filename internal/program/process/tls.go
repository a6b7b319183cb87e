package process

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

// ErrNoCertificate is returned if the authority file contains no certificate.
var ErrNoCertificate = errors.New("no certificate in the file")

// peerTLS returns the configuration of mutual TLS between processes from the certificates that the settings name.
func peerTLS(set settings.Settings) (*tls.Config, error) {
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
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}
