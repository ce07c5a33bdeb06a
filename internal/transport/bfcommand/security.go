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
	// securityFlags are the settings that protect a serve process.
	securityFlags struct {
		system                    string
		cert, key, ca             string
		httpCert, httpKey, httpCA string
		gossipKeys                string
		token, tokenFile          string
		insecureRPC               bool
	}

	// clientFlags are the settings of commands that call entries.
	clientFlags struct {
		ca, token, tokenFile string
	}
)

func (f *securityFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.system, "system", "briarferry", "name of the system; VMs of another one are refused")
	fs.StringVar(&f.cert, "tls-cert", "", "certificate of this VM for calls between VMs; needs --tls-key and --tls-ca")
	fs.StringVar(&f.key, "tls-key", "", "key of --tls-cert")
	fs.StringVar(&f.ca, "tls-ca", "", "CA bundle that the certificates of VMs must chain to")
	fs.BoolVar(&f.insecureRPC, "insecure-rpc", false, "allow calls in cleartext beyond loopback addresses")
	fs.StringVar(&f.gossipKeys, "gossip-key-file", "", "file with the key for heartbeats, or two during a rotation: the first signs, both verify")
	fs.StringVar(&f.httpCert, "http-tls-cert", "", "certificate for --http, which then serves HTTPS; needs --http-tls-key")
	fs.StringVar(&f.httpKey, "http-tls-key", "", "key of --http-tls-cert")
	fs.StringVar(&f.httpCA, "http-tls-ca", "", "CA bundle of the other VMs' --http-tls-cert; --tls-ca where empty")
	fs.StringVar(&f.token, "token", "", "token that operators' changes must carry; better --token-file or the environment variable")
	fs.StringVar(&f.tokenFile, "token-file", "", "file with the tokens that operators' changes may carry, one a line")
}

// check loads the files and reports every finding.
func (f *securityFlags) check(v *values, vm briarferry.VM, control map[string]netip.AddrPort, peers []netip.AddrPort) bfnode.Security {
	s := bfnode.Security{System: v.name("system", f.system)}
	s.RPC = f.checkRPC(v, vm, control)
	s.HTTP, s.HTTPTrust = f.checkHTTP(v, vm)
	if f.gossipKeys != "" {
		var findings briarferry.Findings
		s.Gossip, findings = bftls.LoadGossipKeys("--gossip-key-file", f.gossipKeys, func(keys [][]byte) *bfgossip.Keyring {
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

func (f *securityFlags) checkRPC(v *values, vm briarferry.VM, control map[string]netip.AddrPort) *bftls.Source {
	given := f.cert + f.key + f.ca
	if given == "" {
		if f.insecureRPC {
			return nil
		}
		const needs = "--tls-cert, --tls-key and --tls-ca, or --insecure-rpc"
		v.loopback("rpc", needs, vm.RPC)
		for _, address := range control {
			v.loopback("control", needs, address)
		}
		return nil
	}
	if f.cert == "" || f.key == "" || f.ca == "" {
		v.findings.Add("--tls-cert", "needs --tls-key and --tls-ca, and they need it")
		return nil
	}
	source, findings := bftls.Load(bftls.Files{
		Cert: bftls.File{Setting: "--tls-cert", Path: f.cert}, Key: bftls.File{Setting: "--tls-key", Path: f.key},
		CA: bftls.File{Setting: "--tls-ca", Path: f.ca}, Name: vm.Name,
	})
	v.findings = append(v.findings, findings...)
	return source
}

// checkHTTP returns the certificate for the HTTP address and the CAs of other VMs'.
// Callers use addresses, so the certificate must have that of the VM.
func (f *securityFlags) checkHTTP(v *values, vm briarferry.VM) (own, trust *bftls.Source) {
	if f.httpCert == "" && f.httpKey == "" {
		if f.httpCA != "" {
			v.findings.Add("--http-tls-ca", "needs --http-tls-cert")
		}
		return nil, nil
	}
	if f.httpCert == "" || f.httpKey == "" {
		v.findings.Add("--http-tls-cert", "needs --http-tls-key, and the other way round")
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
		ca = bftls.File{Setting: "--tls-ca", Path: f.ca}
	}
	trust, findings = bftls.Load(bftls.Files{CA: ca})
	v.findings = append(v.findings, findings...)
	return own, trust
}

func (f *securityFlags) checkTokens(v *values, vm briarferry.VM) *bftls.Watched[[]string] {
	switch {
	case f.token != "" && f.tokenFile != "":
		v.findings.Add("--token", "must not be given together with --token-file")
	case f.tokenFile != "":
		tokens, findings := bftls.LoadTokens("--token-file", f.tokenFile)
		v.findings = append(v.findings, findings...)
		return tokens
	case f.token == "" && vm.HTTP.IsValid() && !vm.HTTP.Addr().IsLoopback():
		v.findings.Add("--token", "or --token-file is required where --http is not a loopback address, since operators' changes are served there")
	}
	return nil
}

// loopback reports an address that other VMs can reach without protection.
func (v *values) loopback(flag, needs string, address netip.AddrPort) {
	if address.IsValid() && !address.Addr().IsLoopback() {
		v.findings.Add("--"+flag, "%s is not a loopback address: it needs %s", address, needs)
	}
}

func (f *clientFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.ca, "ca", "", "CA bundle of the entries' certificates; makes the command use HTTPS")
}

func (f *clientFlags) registerToken(fs *flag.FlagSet) {
	f.register(fs)
	fs.StringVar(&f.token, "token", "", "token for operators' changes; better --token-file or the environment variable")
	fs.StringVar(&f.tokenFile, "token-file", "", "file whose first line is the token for operators' changes")
}

// caller returns how to call entries; t may be nil.
func (f *clientFlags) caller(v *values, t *http.Transport) bftls.Caller {
	source := f.source(v)
	if t == nil {
		t = &http.Transport{MaxIdleConnsPerHost: 16}
	}
	return bftls.NewCaller(source, t)
}

// source returns the CAs to trust, or nil for cleartext.
func (f *clientFlags) source(v *values) *bftls.Source {
	if f.ca == "" {
		return nil
	}
	s, findings := bftls.Load(bftls.Files{CA: bftls.File{Setting: "--ca", Path: f.ca}})
	v.findings = append(v.findings, findings...)
	return s
}

// operator returns a client for the operators' paths.
func (f *clientFlags) operator(v *values, entries string) *operatorClient {
	c := &operatorClient{entries: v.addresses("entries", entries), caller: f.caller(v, nil), token: f.token}
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

// vmList reads NAME=ADDRESS+ADDRESS, comma separated.
func (v *values) vmList(flag, text string) []bftls.VM {
	var out []bftls.VM
	for _, part := range splitList(text) {
		name, list, _ := strings.Cut(part, "=")
		vm := bftls.VM{Name: v.name(flag, name)}
		for _, address := range strings.FieldsFunc(list, func(r rune) bool { return r == '+' }) {
			a, err := netip.ParseAddr(address)
			if err != nil {
				v.findings.Add("--"+flag, "must be IP addresses without ports: %q", address)
			}
			vm.Addresses = append(vm.Addresses, a)
		}
		out = append(out, vm)
	}
	if len(out) == 0 {
		v.findings.Add("--"+flag, "must name at least one VM")
	}
	return out
}
