package certs

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// TestMain fails if a goroutine outlives a handshake.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestIssue guards against certificates that don't authenticate nodes to each other, or authenticate a node under another name.
func TestIssue(t *testing.T) {
	a, err := NewAuthority()
	require.NoError(t, err)
	other, err := NewAuthority()
	require.NoError(t, err)
	cases := map[string]struct {
		signer Authority
		name   string
		valid  bool
	}{
		"right name":      {signer: a, name: "b1", valid: true},
		"other name":      {signer: a, name: "b2"},
		"other authority": {signer: other, name: "b1"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			roots := x509.NewCertPool()
			require.True(t, roots.AppendCertsFromPEM(a.PEM()))
			pair := func(signer Authority, name string) []tls.Certificate {
				p, err := signer.Issue(name)
				require.NoError(t, err)
				c, err := tls.X509KeyPair(p.Cert, p.Key)
				require.NoError(t, err)
				return []tls.Certificate{c}
			}
			left, right := net.Pipe()
			server := tls.Server(left, &tls.Config{Certificates: pair(tc.signer, "b1"), ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert})
			client := tls.Client(right, &tls.Config{Certificates: pair(a, "a1"), RootCAs: roots, ServerName: tc.name})
			served := make(chan struct{})
			go func() {
				defer close(served)
				_ = server.Handshake()
				_ = left.Close()
			}()
			err := client.Handshake()
			_ = right.Close()
			<-served
			require.Equal(t, tc.valid, err == nil)
		})
	}
}
