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

// testTLS returns a mutual TLS configuration for both sides with a generated self-signed certificate for the address.
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

// Guards against a configuration error that an operator can't find: certificates for other addresses, or a host with another
// secret. The connection fails, and the debug state of both sides must show it. With a correct configuration it must show no failure.
func TestFailedHandshakeIsInDebugState(t *testing.T) {
	for _, test := range []struct {
		name    string
		opts    []Option
		secret  []byte
		refused bool
	}{
		{name: "other address", opts: []Option{WithTLS(testTLS(t, net.IPv4(127, 0, 0, 2)))}, secret: testSecret, refused: true},
		{name: "other secret", secret: []byte("another secret"), refused: true},
		{name: "correct", opts: []Option{WithTLS(testTLS(t, net.IPv4(127, 0, 0, 1)))}, secret: testSecret},
	} {
		t.Run(test.name, func(t *testing.T) {
			peers := newTestPeers(t, test.opts...)
			client := newTestClient(t, test.secret, test.opts...)
			_, err := Call[text, text](t.Context(), client, peers.address, methodEcho, text{})
			if (err != nil) != test.refused {
				t.Errorf("error %v", err)
			}
			var failed []string
			for _, failure := range client.State().Failures {
				failed = append(failed, failure.Address.String())
			}
			var want []string
			if test.refused {
				want = []string{peers.address.String()}
			}
			if diff := cmp.Diff(want, failed); diff != "" {
				t.Error(diff)
			}
			for test.refused && peers.server.State().LastRejected == "" { // the server detects the failure slightly later than the client
				time.Sleep(time.Millisecond)
			}
		})
	}
}
