package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testTLS returns a configuration of mutual TLS for both sides. Its certificate is made for the test, is its own authority and
// holds the address.
func testTLS(t *testing.T, address net.IP) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{address},
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	authority := x509.NewCertPool()
	authority.AddCert(certificate)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}

// An operator turns on TLS with certificates of other addresses, or gives one host another secret.
// Nothing connects. The dump of both sides must say why, or nobody finds the cause, and forget it when it is mended.
func TestFailedHandshakeIsInTheDump(t *testing.T) {
	for _, test := range []struct {
		name    string
		opts    []Option
		secret  []byte
		refused bool
	}{
		{name: "other address", opts: []Option{WithTLS(testTLS(t, net.IPv4(127, 0, 0, 2)))}, secret: testSecret, refused: true},
		{name: "other secret", secret: []byte("another secret"), refused: true},
		{name: "as it should be", opts: []Option{WithTLS(testTLS(t, net.IPv4(127, 0, 0, 1)))}, secret: testSecret},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, test.opts...)
			client := newTestClient(t, test.secret, test.opts...)
			_, err := Ask[text, text](t.Context(), client, b.address, methodEcho, text{})
			if (err != nil) != test.refused {
				t.Errorf("error %v", err)
			}
			var failed []string
			for _, failure := range client.State().Failures {
				failed = append(failed, failure.Address.String())
			}
			var want []string
			if test.refused {
				want = []string{b.address.String()}
			}
			if diff := cmp.Diff(want, failed); diff != "" {
				t.Error(diff)
			}
			for test.refused && b.server.State().LastRejected == "" { // the server sees the end of the connection a little later
				time.Sleep(time.Millisecond)
			}
		})
	}
}
