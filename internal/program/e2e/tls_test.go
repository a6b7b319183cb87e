package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/program/scenario"
)

// overTLS returns a topology change that makes all hosts use mutual TLS among each other, with one self-signed
// certificate for 127.0.0.1.
func overTLS(t *testing.T) func(*scenario.Topology) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	certificateFile := writePEM(t, filepath.Join(folder, "host.pem"), "CERTIFICATE", certificate)
	keyFile := writePEM(t, filepath.Join(folder, "host.key"), "PRIVATE KEY", private)
	return func(topology *scenario.Topology) {
		for i := range topology.Entries {
			host := &topology.Entries[i]
			host.TLSCertificateFile, host.TLSKeyFile, host.TLSAuthorityFile = certificateFile, keyFile, certificateFile
		}
		for i := range topology.Agents {
			host := &topology.Agents[i].Settings
			host.TLSCertificateFile, host.TLSKeyFile, host.TLSAuthorityFile = certificateFile, keyFile, certificateFile
		}
	}
}

func writePEM(t *testing.T, path, kind string, content []byte) string {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
