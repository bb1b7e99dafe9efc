// Package certs issues short-lived certificates for mutual TLS between nodes.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// validity is longer than any run, and short enough that a leaked key soon becomes worthless.
const validity = 24 * time.Hour

// Authority signs the certificates of nodes.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Pair is a certificate and its key in PEM form.
type Pair struct {
	Cert []byte
	Key  []byte
}

// NewAuthority creates a certificate authority that exists only in memory.
func NewAuthority() (Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Authority{}, fmt.Errorf("certs: generating the authority's key: %w", err)
	}
	template, err := newTemplate("verbenapin test authority")
	if err != nil {
		return Authority{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return Authority{}, fmt.Errorf("certs: signing the authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return Authority{}, fmt.Errorf("certs: reading the authority: %w", err)
	}
	return Authority{cert: cert, key: key}, nil
}

// PEM returns the authority's certificate in PEM form.
func (a Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
}

// Issue returns a certificate and its key; the certificate's DNS name is the name of the instance.
func (a Authority) Issue(name string) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("certs: generating the key of %s: %w", name, err)
	}
	template, err := newTemplate(name)
	if err != nil {
		return Pair{}, err
	}
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, fmt.Errorf("certs: signing %s: %w", name, err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fmt.Errorf("certs: encoding the key of %s: %w", name, err)
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}),
	}, nil
}

// Write stores ca.pem and, for each name, <name>.pem and <name>.key in dir.
func (a Authority) Write(dir string, names []string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("certs: creating the directory: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "ca.pem"), a.PEM(), 0o600); err != nil {
		return fmt.Errorf("certs: writing the authority: %w", err)
	}
	for _, name := range names {
		p, err := a.Issue(name)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name+".pem"), p.Cert, 0o600); err != nil {
			return fmt.Errorf("certs: writing the certificate of %s: %w", name, err)
		}
		if err := os.WriteFile(filepath.Join(dir, name+".key"), p.Key, 0o600); err != nil {
			return fmt.Errorf("certs: writing the key of %s: %w", name, err)
		}
	}
	return nil
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, fmt.Errorf("certs: choosing a serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
	}, nil
}
