package peer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
)

// IdentityError reports a certificate, key or authority that cannot be used.
type IdentityError struct {
	Path string
	Err  error
}

func (e IdentityError) Error() string {
	return fmt.Sprintf("peer: certificate file %s: %v", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e IdentityError) Unwrap() error { return e.Err }

type material struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// Identity holds this node's certificate and the authority of the fleet; both can be replaced while it runs.
type Identity struct {
	certFile, keyFile, caFile string
	current                   atomic.Pointer[material]
}

// NewIdentity reads the files once.
func NewIdentity(certFile, keyFile, caFile string) (*Identity, error) {
	i := &Identity{certFile: certFile, keyFile: keyFile, caFile: caFile}
	return i, i.Reload()
}

// Reload reads the files again; after an error the earlier content stays in use.
func (i *Identity) Reload() error {
	cert, err := tls.LoadX509KeyPair(i.certFile, i.keyFile)
	if err != nil {
		return IdentityError{Path: i.certFile, Err: err}
	}
	pem, err := os.ReadFile(i.caFile)
	if err != nil {
		return IdentityError{Path: i.caFile, Err: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return IdentityError{Path: i.caFile, Err: x509.CertificateInvalidError{Detail: "no certificate found"}}
	}
	i.current.Store(&material{cert: cert, roots: roots})
	return nil
}

// ServerConfig returns the settings of a listener that accepts only nodes of the fleet.
func (i *Identity) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		m := i.current.Load()
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			NextProtos:   protocols,
			Certificates: []tls.Certificate{m.cert},
			ClientCAs:    m.roots,
			ClientAuth:   tls.RequireAndVerifyClientCert,
		}, nil
	}}
}

// ClientConfig returns the settings of connections to other nodes; the server's certificate must hold the
// name that is dialled.
func (i *Identity) ClientConfig(protocols ...string) *tls.Config {
	return i.clientConfig(func(cs tls.ConnectionState) string { return cs.ServerName }, protocols)
}

// ControlConfig returns the settings of control connections, which are dialled by address: the server may be
// any node of the fleet.
func (i *Identity) ControlConfig(protocols ...string) *tls.Config {
	return i.clientConfig(func(tls.ConnectionState) string { return "" }, protocols)
}

func (i *Identity) clientConfig(expected func(cs tls.ConnectionState) string, protocols []string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &i.current.Load().cert, nil
		},
		// The authority can be replaced while the process runs, so verification reads it at each handshake.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies chain and name
		VerifyConnection: func(cs tls.ConnectionState) error {
			opts := x509.VerifyOptions{
				Roots:         i.current.Load().roots,
				DNSName:       expected(cs),
				Intermediates: x509.NewCertPool(),
				KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
			}
			for _, c := range cs.PeerCertificates[1:] {
				opts.Intermediates.AddCert(c)
			}
			if _, err := cs.PeerCertificates[0].Verify(opts); err != nil {
				return fmt.Errorf("peer: verifying the certificate of %s: %w", cs.ServerName, err)
			}
			return nil
		},
	}
}
