package bftls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"time"

	"briarferry"
)

type (
	// Files names the files of a Source and the settings that gave them. A Source
	// without Cert has no certificate of its own; one without CA trusts the VM's roots.
	Files struct {
		Cert, Key, CA File
		// Name is the DNS name that the certificate must have; empty checks none.
		Name string
	}

	// Source holds a certificate and the CAs that are trusted.
	Source struct {
		*Watched[material]
	}

	material struct {
		cert *tls.Certificate
		// roots is nil for the roots of the VM.
		roots *x509.CertPool
	}
)

var errNoPeerCertificate = errors.New("bftls: the peer has no certificate")

// Load reads the files and returns every finding.
func Load(f Files) (*Source, briarferry.Findings) {
	var files []File
	if f.Cert.Path != "" || f.Key.Path != "" {
		f.Key.Secret = true
		files = append(files, f.Cert, f.Key)
	}
	if f.CA.Path != "" {
		files = append(files, f.CA)
	}
	w, findings := Watch(files, f.parse)
	return &Source{w}, findings
}

func (f Files) parse(contents [][]byte) (material, briarferry.Findings) {
	var m material
	var findings briarferry.Findings
	if f.CA.Path != "" {
		m.roots = x509.NewCertPool()
		if !m.roots.AppendCertsFromPEM(contents[len(contents)-1]) {
			findings.Add(f.CA.Setting, "%s has no certificate in PEM form", f.CA.Path)
		}
	}
	if f.Cert.Path == "" {
		return m, findings
	}
	cert, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		findings.Add(f.Cert.Setting, "%s and %s are no certificate with its key: %v", f.Cert.Path, f.Key.Path, err)
		return m, findings
	}
	m.cert = &cert
	f.check(&findings, m, time.Now())
	return m, findings
}

// check reports what would make peers refuse the certificate.
func (f Files) check(findings *briarferry.Findings, m material, now time.Time) {
	leaf := m.cert.Leaf
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		findings.Add(f.Cert.Setting, "%s is valid from %s to %s only", f.Cert.Path,
			leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339))
		return
	}
	if f.Name != "" && leaf.VerifyHostname(f.Name) != nil {
		findings.Add(f.Cert.Setting, "%s must have the DNS name %q, has %q", f.Cert.Path, f.Name, leaf.DNSNames)
	}
	if m.roots == nil {
		return
	}
	if err := verify(chainOf(m.cert), m.roots, "", x509.ExtKeyUsageServerAuth, now); err != nil {
		findings.Add(f.Cert.Setting, "%s is not signed by a CA of %s: %v", f.Cert.Path, f.CA.Path, err)
	}
}

func chainOf(cert *tls.Certificate) []*x509.Certificate {
	chain := []*x509.Certificate{cert.Leaf}
	for _, der := range cert.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			chain = append(chain, c)
		}
	}
	return chain
}

func verify(chain []*x509.Certificate, roots *x509.CertPool, name string, usage x509.ExtKeyUsage, now time.Time) error {
	if len(chain) == 0 {
		return errNoPeerCertificate
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, DNSName: name, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return err
}

// Server returns settings for a server. With mutual, peers need a certificate of a
// trusted CA. Tickets are off, so that a connection never rests on a certificate that
// was checked against earlier CAs.
func (s *Source) Server(mutual bool, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.Value()
			c := &tls.Config{
				MinVersion: tls.VersionTLS13, NextProtos: protocols, SessionTicketsDisabled: true,
				Certificates: []tls.Certificate{*m.cert},
			}
			if mutual {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.roots
			}
			return c, nil
		},
	}
}

// Client returns settings for one connection to a server. The server must have the
// name, a DNS name or an IP address; an empty one accepts any name under a trusted CA.
func (s *Source) Client(name string, protocols ...string) *tls.Config {
	m := s.Value()
	c := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols, ServerName: name, RootCAs: m.roots}
	if m.cert != nil {
		c.Certificates = []tls.Certificate{*m.cert}
	}
	if name == "" {
		// The standard check needs a name, so the chain is checked here.
		c.InsecureSkipVerify = true
		c.VerifyConnection = func(state tls.ConnectionState) error {
			return verify(state.PeerCertificates, m.roots, "", x509.ExtKeyUsageServerAuth, time.Now())
		}
	}
	return c
}
