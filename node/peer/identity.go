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
	return fmt.Sprintf("peer: file %s: %v", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e IdentityError) Unwrap() error { return e.Err }

// NoCertificateError reports a file of certificate authorities without any certificate.
type NoCertificateError struct{}

func (NoCertificateError) Error() string { return "no certificate found" }

// credentials are the contents of the files after one reading.
type credentials struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// Identity holds this node's certificate and the certificate authority of the fleet; both can be replaced at run time.
type Identity struct {
	name                      string
	certFile, keyFile, caFile string
	current                   atomic.Pointer[credentials]
}

// NewIdentity returns the identity of the named instance, read from the files.
func NewIdentity(name, certFile, keyFile, caFile string) (*Identity, error) {
	i := &Identity{name: name, certFile: certFile, keyFile: keyFile, caFile: caFile}
	return i, i.Reload()
}

// Reload reads the files again; after an error the previous contents stay in use.
func (i *Identity) Reload() error {
	var contents [3][]byte
	for n, path := range []string{i.certFile, i.keyFile, i.caFile} {
		data, err := os.ReadFile(path)
		if err != nil {
			return IdentityError{Path: path, Err: err}
		}
		contents[n] = data
	}
	cert, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return IdentityError{Path: i.certFile + " with " + i.keyFile, Err: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(contents[2]) {
		return IdentityError{Path: i.caFile, Err: NoCertificateError{}}
	}
	// Other nodes would refuse an invalid certificate at each connection.
	if err := verifyOwnCertificate(cert, roots, i.name); err != nil {
		return IdentityError{Path: i.certFile, Err: err}
	}
	i.current.Store(&credentials{cert: cert, roots: roots})
	return nil
}

// verifyOwnCertificate checks the chain, the validity period and the name of a node's own certificate.
func verifyOwnCertificate(cert tls.Certificate, roots *x509.CertPool, name string) error {
	opts := x509.VerifyOptions{Roots: roots, DNSName: name, Intermediates: x509.NewCertPool()}
	for _, der := range cert.Certificate[1:] {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return err
		}
		opts.Intermediates.AddCert(c)
	}
	_, err := cert.Leaf.Verify(opts)
	return err
}

// ServerConfig returns the TLS configuration of a listener that accepts only nodes of the fleet.
func (i *Identity) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		creds := i.current.Load()
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			NextProtos:   protocols,
			Certificates: []tls.Certificate{creds.cert},
			ClientCAs:    creds.roots,
			ClientAuth:   tls.RequireAndVerifyClientCert,
		}, nil
	}}
}

// ClientConfig returns the TLS configuration of connections to other nodes; the server's certificate must hold the dialled
// name.
func (i *Identity) ClientConfig(protocols ...string) *tls.Config {
	return i.clientConfig(func(cs tls.ConnectionState) string { return cs.ServerName }, protocols)
}

// ControlConfig returns the TLS configuration of control connections, which are dialled by address: the server may be any
// node of the fleet.
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
		// The certificate authority can be replaced at run time, so verification reads it at each handshake.
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
