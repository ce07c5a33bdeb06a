package bfcommand

import (
	"context"
	"flag"
	"fmt"
	"time"

	"briarferry/internal/transport/bftls"
)

func certificatesCommand() *command {
	var vms string
	s := &bftls.Setup{}
	return &command{
		name:     "certificates",
		synopsis: "create a CA, a certificate for each VM, a gossip key and an operator token in a folder",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&s.Folder, "folder", "secrets", "folder for the files; existing files are kept, except with --renew or --rotate")
			fs.StringVar(&s.System, "system", "briarferry", "name of the system, as in --system of serve")
			fs.StringVar(&vms, "vms", "", "VMs as NAME=IP, comma separated; join several addresses of a VM with +, as in a=192.0.2.1+10.0.0.1")
			fs.DurationVar(&s.Valid, "valid", 365*24*time.Hour, "validity period of new certificates, such as 720h")
			fs.BoolVar(&s.Renew, "renew", false, "replace the existing certificates and private keys of the VMs")
			fs.StringVar(&s.Rotate, "rotate", "", "replace ca, gossip-key or token, one --step at a time; copy the changed files to every VM after each step")
			fs.StringVar(&s.Step, "step", "", "step of --rotate: add (the new one is accepted too), use (the new one is used, the old one still accepted) or drop (the old one is removed)")
		},
		run: func(context.Context, []string) error {
			var v validator
			v.name("system", s.System)
			if s.Rotate == "" {
				s.VMs = v.vmList("vms", vms)
			}
			v.positive("valid", s.Valid)
			v.findings = append(v.findings, s.Validate()...)
			if err := v.findings.Err(); err != nil {
				return err
			}
			written, err := s.Run()
			for _, path := range written {
				fmt.Println(path)
			}
			return err
		},
	}
}
