package bfentry

import (
	"net/http"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

const maxLookupEntries = 8

func (e *Entry) serveLookup(w http.ResponseWriter, r *http.Request) {
	cfg, lease, ok := e.Config.Current()
	if !ok {
		bfapi.WriteError(w, "", refuseNoLease())
		return
	}
	name := r.URL.Query().Get(bfapi.ParamService)
	if _, ok := cfg.Service(name); !ok {
		bfapi.WriteError(w, "", refuseUnknownService(name))
		return
	}
	caller, err := bfapi.LookupClient(r, e.TrustedResolvers)
	if err != nil {
		bfapi.WriteError(w, "", err)
		return
	}
	if e.Steering != nil {
		if !e.Steering.Synced() {
			bfapi.WriteError(w, "", refuseUnknown("no placement from the leader yet"))
			return
		}
		e.Steering.CountLookup(caller)
	}
	answer := bfapi.LookupReply{Service: name, ConfigVersion: lease.Version, Entries: []bfapi.LookupEntry{}}
	for _, p := range e.Placement.Entries(name, caller) {
		if len(answer.Entries) == maxLookupEntries {
			break
		}
		answer.Entries = append(answer.Entries, bfapi.LookupEntry{
			Address: p.VM.HTTP, Region: p.VM.Region, FailureDomain: p.VM.FailureDomain, Weight: p.Weight,
		})
	}
	bfapi.WriteLookup(w, answer, cfg.Limits.LookupTTL.Std())
}

func (e *Entry) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	var a briarferry.Announcement
	if err := bfapi.DecodeBody(w, r, &a); err != nil {
		bfapi.WriteError(w, "", err)
		return
	}
	if err := e.Announcements.Announce(a); err != nil {
		bfapi.WriteError(w, "", err)
		return
	}
	reply := bfapi.AnnouncementReply{LeaseSeconds: bfapi.AnnouncementLease.Seconds()}
	for _, vm := range e.Members.Live() {
		if vm.Name != e.Members.Self().Name {
			reply.Entries = append(reply.Entries, vm.HTTP)
		}
	}
	bfapi.WriteJSON(w, http.StatusOK, reply)
}
