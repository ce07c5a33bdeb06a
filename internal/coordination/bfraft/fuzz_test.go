package bfraft

import (
	"testing"

	"briarferry/internal/state/bfcodec"
)

// FuzzMessage guards against messages that make the decoder or a replica panic.
func FuzzMessage(f *testing.F) {
	for _, m := range []Message{
		{Type: MsgAppend, From: "b/0", To: "a/0", Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2, Kind: EntryCommand, Data: []byte("x")}}},
		{Type: MsgSnapshot, From: "b/0", To: "a/0", Term: 2, Chunk: &Chunk{Index: 4, Term: 1, Size: 1, Data: []byte("x")}},
		{Type: MsgVote, From: "b/0", To: "a/0", Term: 3, Index: 1, LogTerm: 1},
	} {
		data, _ := bfcodec.Marshal(m)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		if bfcodec.Unmarshal(b, &m) != nil {
			return
		}
		n := newNetwork(t, 1, 1)
		s := n.nodes["a/0"]
		s.raft.Step(m)
		for i := 0; s.raft.HasReady() && i < 10; i++ {
			s.raft.Advance(s.raft.Ready())
		}
	})
}
