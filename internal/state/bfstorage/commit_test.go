package bfstorage

import (
	"math/rand/v2"
	"testing"
)

// TestCommitIndexFile guards against a restarted replica that reads a commit index which
// was never saved, and against a file that grows without bound.
func TestCommitIndexFile(t *testing.T) {
	fs := NewMemoryFS(rand.New(rand.NewPCG(1, 1)))
	s, rec, err := Open(fs, "data", 0)
	if err != nil || rec.CommitIndex != 0 {
		t.Fatalf("got commit index %d, error %v", rec.CommitIndex, err)
	}
	for index := uint64(1); index <= 3*maxCommitFileBytes/commitRecordBytes; index++ {
		if err := s.SaveCommitIndex(index); err != nil {
			t.Fatal(err)
		}
	}
	data, err := fs.ReadFile("data/" + commitFile)
	if err != nil || len(data) > maxCommitFileBytes+commitRecordBytes {
		t.Errorf("commit file has %d bytes, error %v", len(data), err)
	}
	last := uint64(3 * maxCommitFileBytes / commitRecordBytes)
	if got := readCommitIndex(fs, "data"); got != last {
		t.Errorf("got commit index %d, want %d", got, last)
	}
	fs.Corrupt("data/"+commitFile, len(data)-1)
	if got := readCommitIndex(fs, "data"); got != last-1 {
		t.Errorf("got commit index %d after the last record was damaged, want %d", got, last-1)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}
