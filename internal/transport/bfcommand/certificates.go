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
		synopsis: "make a CA, a certificate for each VM, a gossip key and a token in a folder",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&s.Folder, "folder", "secrets", "folder for the files; those that exist stay as they are")
			fs.StringVar(&s.System, "system", "briarferry", "name of the system")
			fs.StringVar(&vms, "vms", "", "VMs as NAME=ADDRESS, comma separated; several addresses of a VM are joined by +")
			fs.DurationVar(&s.Valid, "valid", 365*24*time.Hour, "how long new certificates are valid")
			fs.BoolVar(&s.Renew, "renew", false, "replace the certificates and keys of the VMs")
			fs.StringVar(&s.Rotate, "rotate", "", "ca, gossip-key or token: take the next --step of replacing it")
			fs.StringVar(&s.Step, "step", "", "add (a new one, accepted), use (the new one is the one in use) or drop (the old one)")
		},
		run: func(context.Context, []string) error {
			var v values
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
