package bfcommand

import (
	"flag"
	"net/http"
	"net/netip"
	"strings"

	"briarferry"
	"briarferry/internal/transport/bfgossip"
	"briarferry/internal/transport/bfnode"
	"briarferry/internal/transport/bftls"
)

type (
	// securityFlags are the flags of the serve command for TLS, keys and tokens.
	securityFlags struct {
		system                    string
		tlsCert, tlsKey, tlsCA    string
		httpCert, httpKey, httpCA string
		gossipKeyFile             string
		token, tokenFile          string
		insecureRPC               bool
	}

	// clientFlags are the flags for TLS and tokens of commands that send requests to entries.
	clientFlags struct {
		ca, token, tokenFile string
	}
)

func (f *securityFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.system, "system", "briarferry", "name of the system; calls from VMs of another system are refused")
	fs.StringVar(&f.tlsCert, "tls-cert", "", "certificate file (PEM) of this VM for RPCs between VMs; needs --tls-key and --tls-ca")
	fs.StringVar(&f.tlsKey, "tls-key", "", "private key file (PEM) of --tls-cert")
	fs.StringVar(&f.tlsCA, "tls-ca", "", "CA file (PEM) that the certificates of VMs must chain to")
	fs.BoolVar(&f.insecureRPC, "insecure-rpc", false, "allow RPCs between VMs without TLS on addresses that are not loopback")
	fs.StringVar(&f.gossipKeyFile, "gossip-key-file", "", "file with the key (hexadecimal) that authenticates heartbeats, or two keys, one per line, during a rotation: the first signs, both verify")
	fs.StringVar(&f.httpCert, "http-tls-cert", "", "certificate file (PEM) for --http, which then serves HTTPS; needs --http-tls-key")
	fs.StringVar(&f.httpKey, "http-tls-key", "", "private key file (PEM) of --http-tls-cert")
	fs.StringVar(&f.httpCA, "http-tls-ca", "", "CA file (PEM) that the --http-tls-cert of other VMs must chain to; empty for the file of --tls-ca")
	fs.StringVar(&f.token, "token", "", "token that changes by operators must carry; prefer --token-file or the environment variable, as other users of the host can see flags")
	fs.StringVar(&f.tokenFile, "token-file", "", "file with the tokens that changes by operators may carry, one per line")
}

// check loads the files and adds a finding for each invalid setting.
func (f *securityFlags) check(v *validator, vm briarferry.VM, control map[string]netip.AddrPort, peers []netip.AddrPort) bfnode.Security {
	s := bfnode.Security{System: v.name("system", f.system)}
	s.RPC = f.checkRPC(v, vm, control)
	s.HTTP, s.HTTPCAs = f.checkHTTP(v, vm)
	if f.gossipKeyFile != "" {
		var findings briarferry.Findings
		s.Gossip, findings = bftls.LoadGossipKeys("--gossip-key-file", f.gossipKeyFile, func(keys [][]byte) *bfgossip.Keyring {
			return bfgossip.NewKeyring(f.system, keys...)
		})
		v.findings = append(v.findings, findings...)
	} else {
		v.loopback("gossip", "--gossip-key-file", vm.Gossip)
		for _, peer := range peers {
			v.loopback("peers", "--gossip-key-file", peer)
		}
	}
	s.Tokens = f.checkTokens(v, vm)
	return s
}

func (f *securityFlags) checkRPC(v *validator, vm briarferry.VM, control map[string]netip.AddrPort) *bftls.Source {
	paths := f.tlsCert + f.tlsKey + f.tlsCA
	if paths == "" {
		if f.insecureRPC {
			return nil
		}
		const required = "--tls-cert, --tls-key and --tls-ca, or --insecure-rpc"
		v.loopback("rpc", required, vm.RPC)
		for _, address := range control {
			v.loopback("control", required, address)
		}
		return nil
	}
	if f.tlsCert == "" || f.tlsKey == "" || f.tlsCA == "" {
		v.findings.Add("--tls-cert", "must be given together with --tls-key and --tls-ca")
		return nil
	}
	source, findings := bftls.Load(bftls.Files{
		Cert: bftls.File{Setting: "--tls-cert", Path: f.tlsCert}, Key: bftls.File{Setting: "--tls-key", Path: f.tlsKey},
		CA: bftls.File{Setting: "--tls-ca", Path: f.tlsCA}, Name: vm.Name,
	})
	v.findings = append(v.findings, findings...)
	return source
}

// checkHTTP returns the certificate for the HTTP address and the CAs for the HTTP addresses
// of other VMs. Callers connect to IP addresses, so the certificate must include the VM's.
func (f *securityFlags) checkHTTP(v *validator, vm briarferry.VM) (own, trust *bftls.Source) {
	if f.httpCert == "" && f.httpKey == "" {
		if f.httpCA != "" {
			v.findings.Add("--http-tls-ca", "needs --http-tls-cert and --http-tls-key")
		}
		return nil, nil
	}
	if f.httpCert == "" || f.httpKey == "" {
		v.findings.Add("--http-tls-cert", "must be given together with --http-tls-key")
		return nil, nil
	}
	files := bftls.Files{
		Cert: bftls.File{Setting: "--http-tls-cert", Path: f.httpCert}, Key: bftls.File{Setting: "--http-tls-key", Path: f.httpKey},
	}
	if vm.HTTP.IsValid() && !vm.HTTP.Addr().IsUnspecified() {
		files.Name = vm.HTTP.Addr().String()
	}
	own, findings := bftls.Load(files)
	v.findings = append(v.findings, findings...)
	ca := bftls.File{Setting: "--http-tls-ca", Path: f.httpCA}
	if f.httpCA == "" {
		ca = bftls.File{Setting: "--tls-ca", Path: f.tlsCA}
	}
	trust, findings = bftls.Load(bftls.Files{CA: ca})
	v.findings = append(v.findings, findings...)
	return own, trust
}

func (f *securityFlags) checkTokens(v *validator, vm briarferry.VM) *bftls.Watched[[]string] {
	switch {
	case f.token != "" && f.tokenFile != "":
		v.findings.Add("--token", "must not be given together with --token-file")
	case f.tokenFile != "":
		tokens, findings := bftls.LoadTokens("--token-file", f.tokenFile)
		v.findings = append(v.findings, findings...)
		return tokens
	case f.token == "" && vm.HTTP.IsValid() && !vm.HTTP.Addr().IsLoopback():
		v.findings.Add("--token", "must be given, or --token-file, because --http is not a loopback address and accepts changes by operators")
	}
	return nil
}

// loopback adds a finding for a valid address that is not a loopback address. required names
// the flags that allow such an address.
func (v *validator) loopback(flag, required string, address netip.AddrPort) {
	if address.IsValid() && !address.Addr().IsLoopback() {
		v.findings.Add("--"+flag, "%s is not a loopback address: it needs %s", address, required)
	}
}

func (f *clientFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.ca, "ca", "", "CA file (PEM) that the certificates of entries must chain to; turns on HTTPS")
}

func (f *clientFlags) registerToken(fs *flag.FlagSet) {
	f.register(fs)
	fs.StringVar(&f.token, "token", "", "token for changes by operators; prefer --token-file or the environment variable, as other users of the host can see flags")
	fs.StringVar(&f.tokenFile, "token-file", "", "file with tokens for changes by operators, one per line; the first is sent")
}

// newHTTPClient returns an HTTP client for entries. If t is nil, it uses a transport that keeps
// up to 16 idle connections to each entry.
func (f *clientFlags) newHTTPClient(v *validator, t *http.Transport) bftls.Caller {
	cas := f.trustedCAs(v)
	if t == nil {
		t = &http.Transport{MaxIdleConnsPerHost: 16}
	}
	return bftls.NewCaller(cas, t)
}

// trustedCAs returns the CAs of the entries' certificates, or nil for HTTP without TLS.
func (f *clientFlags) trustedCAs(v *validator) *bftls.Source {
	if f.ca == "" {
		return nil
	}
	s, findings := bftls.Load(bftls.Files{CA: bftls.File{Setting: "--ca", Path: f.ca}})
	v.findings = append(v.findings, findings...)
	return s
}

// newOperatorClient returns a client for operator requests.
func (f *clientFlags) newOperatorClient(v *validator, entries string) *operatorClient {
	c := &operatorClient{entries: v.addresses("entries", entries), httpClient: f.newHTTPClient(v, nil), token: f.token}
	if f.tokenFile == "" {
		return c
	}
	if f.token != "" {
		v.findings.Add("--token", "must not be given together with --token-file")
	}
	tokens, findings := bftls.LoadTokens("--token-file", f.tokenFile)
	v.findings = append(v.findings, findings...)
	if len(findings) == 0 {
		c.token = tokens.Value()[0]
	}
	return c
}

// vmList parses a comma-separated list of NAME=IP+IP.
func (v *validator) vmList(flag, text string) []bftls.VM {
	var out []bftls.VM
	for _, part := range splitList(text) {
		name, list, _ := strings.Cut(part, "=")
		vm := bftls.VM{Name: v.name(flag, name)}
		for _, address := range strings.FieldsFunc(list, func(r rune) bool { return r == '+' }) {
			a, err := netip.ParseAddr(address)
			if err != nil {
				v.findings.Add("--"+flag, "must have the form NAME=IP, with IP addresses without ports: %q", address)
			}
			vm.Addresses = append(vm.Addresses, a)
		}
		out = append(out, vm)
	}
	if len(out) == 0 {
		v.findings.Add("--"+flag, "must name at least one VM, as NAME=IP")
	}
	return out
}
