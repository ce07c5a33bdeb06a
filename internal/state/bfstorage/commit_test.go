package bfstorage

import (
	"math/rand/v2"
	"testing"
)

// TestCommitNotes guards against a commit index that a restarted replica takes although
// it was never noted, and against a file that grows for good.
func TestCommitNotes(t *testing.T) {
	fs := NewMemoryFS(rand.New(rand.NewPCG(1, 1)))
	s, rec, err := Open(fs, "data", 0)
	if err != nil || rec.CommitIndex != 0 {
		t.Fatalf("commit %d, %v", rec.CommitIndex, err)
	}
	for index := uint64(1); index <= 3*maxCommitFile/commitRecord; index++ {
		if err := s.SaveCommitIndex(index); err != nil {
			t.Fatal(err)
		}
	}
	data, err := fs.ReadFile("data/" + commitFile)
	if err != nil || len(data) > maxCommitFile+commitRecord {
		t.Errorf("%d bytes, %v", len(data), err)
	}
	last := uint64(3 * maxCommitFile / commitRecord)
	if got := readCommit(fs, "data"); got != last {
		t.Errorf("commit %d, want %d", got, last)
	}
	fs.Corrupt("data/"+commitFile, len(data)-1)
	if got := readCommit(fs, "data"); got != last-1 {
		t.Errorf("commit %d after the last record was damaged, want %d", got, last-1)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}
