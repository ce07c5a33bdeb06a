package bfstorage

import (
	"fmt"
	"testing"
)

// logOf returns entries with the indexes from first to last in one term.
func logOf(first, last, term uint64) []Entry {
	var out []Entry
	for i := first; i <= last; i++ {
		out = append(out, Entry{Index: i, Term: term, Kind: 1, Data: fmt.Appendf(nil, "%d of term %d", i, term)})
	}
	return out
}

// TestInterruptedInstallation guards against a data directory that can't be opened again, or
// that loses entries saved since, after the process was killed or the power was lost at any
// write, sync, rename or removal of a snapshot's installation.
func TestInterruptedInstallation(t *testing.T) {
	cases := []struct {
		name string
		log  []Entry
		snap Snapshot
	}{
		{"snapshot after the log", logOf(1, 5, 1), Snapshot{Index: 20, Term: 3, Data: []byte("state")}},
		{"snapshot in a longer log of another term", logOf(1, 30, 1), Snapshot{Index: 20, Term: 3, Data: []byte("state")}},
		{"snapshot at the end of the log", logOf(1, 20, 1), Snapshot{Index: 20, Term: 1, Data: []byte("state")}},
		{"empty log", nil, Snapshot{Index: 20, Term: 3, Data: []byte("state")}},
	}
	for _, c := range cases {
		for at := 1; ; at++ {
			fs := NewMemoryFS(seeded(uint64(at)))
			s, _, err := Open(fs, "data", 0)
			if err != nil {
				t.Fatal(err)
			}
			if err := s.Save(&HardState{Term: 3}, c.log); err != nil {
				t.Fatal(err)
			}
			fs.CrashAfter(at)
			if s.InstallSnapshot(c.snap) == nil {
				break
			}
			for end, disk := range map[string]*MemoryFS{"killed": fs.AfterKill(), "power lost": fs.AfterCrash()} {
				if err := continueAfterInstallation(disk, c.snap); err != nil {
					t.Errorf("%s, %s at operation %d: %v", c.name, end, at, err)
				}
			}
		}
	}
}

// continueAfterInstallation opens the directory of an interrupted installation, saves the
// entries that follow, and opens it twice more.
func continueAfterInstallation(disk FS, snap Snapshot) error {
	s, rec, err := Open(disk, "data", 0)
	if err != nil {
		return fmt.Errorf("first start: %w", err)
	}
	if rec.Snapshot == nil {
		// The snapshot was not durable yet, so it is sent again.
		if err := s.InstallSnapshot(snap); err != nil {
			return err
		}
	}
	next := snap.Index + uint64(len(rec.Entries)) + 1
	if rec.Snapshot == nil {
		next = snap.Index + 1
	}
	for range 2 {
		if err := s.Save(nil, logOf(next, next, 4)); err != nil {
			return err
		}
		if err := s.Close(); err != nil {
			return err
		}
		if s, rec, err = Open(disk, "data", 0); err != nil {
			return fmt.Errorf("start after entry %d: %w", next, err)
		}
		if n := len(rec.Entries); n == 0 || rec.Entries[n-1].Index != next || rec.Entries[n-1].Term != 4 {
			return fmt.Errorf("entry %d is lost, %d entries are left", next, n)
		}
		next++
	}
	return s.Close()
}
