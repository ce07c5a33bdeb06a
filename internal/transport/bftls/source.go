package bftls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"time"

	"briarferry"
)

type (
	// Files lists the files of a Source. Without Cert, the Source has no certificate;
	// without CA, it trusts the root CAs of the operating system.
	Files struct {
		Cert, Key, CA File
		// Name is the DNS name that the certificate must have; empty means any.
		Name string
	}

	// Source provides TLS settings with a certificate and trusted CAs from files that are
	// reloaded when they change.
	Source struct {
		*Watched[credentials]
	}

	credentials struct {
		cert *tls.Certificate
		// roots is nil for the root CAs of the operating system.
		roots *x509.CertPool
	}
)

var errNoPeerCertificate = errors.New("bftls: the peer has no certificate")

// Load reads the files and returns all findings.
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

func (f Files) parse(contents [][]byte) (credentials, briarferry.Findings) {
	var creds credentials
	var findings briarferry.Findings
	if f.CA.Path != "" {
		creds.roots = x509.NewCertPool()
		if !creds.roots.AppendCertsFromPEM(contents[len(contents)-1]) {
			findings.Add(f.CA.Setting, "%s has no certificate in PEM format", f.CA.Path)
		}
	}
	if f.Cert.Path == "" {
		return creds, findings
	}
	cert, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		findings.Add(f.Cert.Setting, "%s and %s are not a certificate and its key: %v", f.Cert.Path, f.Key.Path, err)
		return creds, findings
	}
	creds.cert = &cert
	f.checkCertificate(&findings, creds, time.Now())
	return creds, findings
}

// checkCertificate reports why peers would reject the certificate.
func (f Files) checkCertificate(findings *briarferry.Findings, creds credentials, now time.Time) {
	leaf := creds.cert.Leaf
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		findings.Add(f.Cert.Setting, "%s is valid from %s to %s only", f.Cert.Path,
			leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339))
		return
	}
	if f.Name != "" && leaf.VerifyHostname(f.Name) != nil {
		findings.Add(f.Cert.Setting, "%s must have the DNS name %q, has %q", f.Cert.Path, f.Name, leaf.DNSNames)
	}
	if creds.roots == nil {
		return
	}
	if err := verifyChain(certificateChain(creds.cert), creds.roots, "", x509.ExtKeyUsageServerAuth, now); err != nil {
		findings.Add(f.Cert.Setting, "%s is not signed by a CA of %s: %v", f.Cert.Path, f.CA.Path, err)
	}
}

func certificateChain(cert *tls.Certificate) []*x509.Certificate {
	chain := []*x509.Certificate{cert.Leaf}
	for _, der := range cert.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			chain = append(chain, c)
		}
	}
	return chain
}

func verifyChain(chain []*x509.Certificate, roots *x509.CertPool, name string, usage x509.ExtKeyUsage, now time.Time) error {
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

// Server returns the TLS settings of a server. If mutual is set, clients need a certificate
// signed by a trusted CA. Session tickets are disabled, so that no connection relies on a
// certificate that was checked against earlier CAs.
func (s *Source) Server(mutual bool, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := s.Value()
			c := &tls.Config{
				MinVersion: tls.VersionTLS13, NextProtos: protocols, SessionTicketsDisabled: true,
				Certificates: []tls.Certificate{*creds.cert},
			}
			if mutual {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, creds.roots
			}
			return c, nil
		},
	}
}

// Client returns the TLS settings of one connection to a server. The server's certificate
// must be valid for the name, a DNS name or an IP address. An empty name accepts any
// certificate signed by a trusted CA.
func (s *Source) Client(name string, protocols ...string) *tls.Config {
	creds := s.Value()
	c := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols, ServerName: name, RootCAs: creds.roots}
	if creds.cert != nil {
		c.Certificates = []tls.Certificate{*creds.cert}
	}
	if name == "" {
		// crypto/tls verifies the chain only together with a name, so it is verified here.
		c.InsecureSkipVerify = true
		c.VerifyConnection = func(state tls.ConnectionState) error {
			return verifyChain(state.PeerCertificates, creds.roots, "", x509.ExtKeyUsageServerAuth, time.Now())
		}
	}
	return c
}
