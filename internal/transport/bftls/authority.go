package bftls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"time"
)

const (
	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
	// backdate is subtracted from the start of validity, so that VMs whose clocks are behind
	// accept a new certificate.
	backdate = 5 * time.Minute
)

var errInvalidAuthority = errors.New("bftls: not a CA certificate and its key in PEM format")

// Authority is the CA that signs the certificates of a system's VMs.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates a CA and returns it with its certificate and key in PEM format.
func NewAuthority(name string, valid time.Duration) (a *Authority, certPEM, keyPEM []byte, err error) {
	template := newTemplate(name, valid)
	template.IsCA, template.BasicConstraintsValid, template.MaxPathLenZero = true, true, true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("bftls: create key: %w", err)
	}
	a = &Authority{cert: template, key: key}
	if certPEM, keyPEM, err = a.sign(template, key); err != nil {
		return nil, nil, nil, err
	}
	a, err = ParseAuthority(certPEM, keyPEM)
	return a, certPEM, keyPEM, err
}

// ParseAuthority returns the CA with the given certificate and key in PEM format.
func ParseAuthority(certPEM, keyPEM []byte) (*Authority, error) {
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, errInvalidAuthority
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, fmt.Errorf("bftls: read CA certificate: %w", err)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, fmt.Errorf("bftls: read CA key: %w", err)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok || !cert.IsCA || !key.PublicKey.Equal(cert.PublicKey) {
		return nil, errInvalidAuthority
	}
	return &Authority{cert: cert, key: key}, nil
}

// Issue creates a key and a certificate for a VM, for use as a server and as a client.
func (a *Authority) Issue(name string, addresses []netip.Addr, valid time.Duration) (certPEM, keyPEM []byte, err error) {
	template := newTemplate(name, valid)
	template.DNSNames = []string{name}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.AsSlice()))
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("bftls: create key: %w", err)
	}
	return a.sign(template, key)
}

func newTemplate(name string, valid time.Duration) *x509.Certificate {
	now := time.Now()
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		panic(err) // crypto/rand never fails
	}
	return &x509.Certificate{
		SerialNumber: serial.Add(serial, big.NewInt(1)), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-backdate), NotAfter: now.Add(valid),
	}
}

func (a *Authority) sign(template *x509.Certificate, key *ecdsa.PrivateKey) (certPEM, keyPEM []byte, err error) {
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, nil, fmt.Errorf("bftls: sign certificate: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, fmt.Errorf("bftls: encode key: %w", err)
	}
	certPEM = pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der})
	return certPEM, pem.EncodeToMemory(&pem.Block{Type: pemKey, Bytes: keyDER}), nil
}
