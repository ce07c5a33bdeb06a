package bfstorage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"
)

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 7)) }

// model is the state that must survive a crash: everything that was acknowledged.
type model struct {
	term    uint64
	entries []Entry
	snap    uint64
	disk    string
}

// run executes a random sequence of saves, overwrites, snapshots, installations and
// compactions until the file system crashes. pending is the state that results if the
// failed call took effect.
func (m *model) run(fs FS, r *rand.Rand, steps int) (pending *model, err error) {
	s, rec, err := Open(fs, "data", 600)
	if err != nil {
		return m, err
	}
	m.disk = rec.DiskID
	for range steps {
		next := *m
		next.entries = append([]Entry(nil), m.entries...)
		if err := next.step(s, r); err != nil {
			return &next, err
		}
		*m = next
	}
	return m, s.Close()
}

func (m *model) last() uint64 { return m.snap + uint64(len(m.entries)) }

func (m *model) step(s *Storage, r *rand.Rand) error {
	switch n := r.IntN(10); {
	case n < 6:
		m.term += uint64(r.IntN(2))
		if m.term == 0 {
			m.term = 1
		}
		drop := 0
		if len(m.entries) > 0 && r.IntN(3) == 0 {
			drop = r.IntN(len(m.entries))
			m.term++
		}
		m.entries = m.entries[:len(m.entries)-drop]
		var batch []Entry
		for range 1 + r.IntN(4) {
			batch = append(batch, Entry{Index: m.last() + uint64(len(batch)) + 1, Term: m.term, Kind: 1, Data: []byte(strings.Repeat("x", r.IntN(80)))})
		}
		m.entries = append(m.entries, batch...)
		return s.Save(&HardState{Term: m.term, Vote: "a"}, batch)
	case n < 8 && len(m.entries) > 0:
		cut := 1 + r.IntN(len(m.entries))
		snap := Snapshot{Index: m.snap + uint64(cut), Term: m.entries[cut-1].Term, Meta: []byte("m"), Data: []byte("state")}
		m.snap, m.entries = snap.Index, m.entries[cut:]
		if err := s.SaveSnapshot(snap); err != nil {
			return err
		}
		return s.Compact(snap.Index)
	case n < 9:
		snap := Snapshot{Index: m.last() + 10, Term: m.term + 1, Data: []byte("other")}
		m.term++
		m.snap, m.entries = snap.Index, nil
		if err := s.InstallSnapshot(snap); err != nil {
			return err
		}
		return s.Save(&HardState{Term: m.term}, nil)
	}
	return nil
}

func (m *model) equal(rec *Recovered) error {
	var snap uint64
	if rec.Snapshot != nil {
		snap = rec.Snapshot.Index
	}
	if snap != m.snap || len(rec.Entries) != len(m.entries) {
		return fmt.Errorf("snapshot %d with %d entries, want %d with %d", snap, len(rec.Entries), m.snap, len(m.entries))
	}
	for i, e := range rec.Entries {
		if w := m.entries[i]; e.Index != w.Index || e.Term != w.Term || string(e.Data) != string(w.Data) {
			return fmt.Errorf("entry %d of term %d, want %d of term %d", e.Index, e.Term, w.Index, w.Term)
		}
	}
	return nil
}

// verify returns an error unless the recovered state is the one that m acknowledged, or
// the pending one, if the interrupted call took effect.
func (m *model) verify(rec *Recovered, pending *model) error {
	if rec.HardState.Term < m.term {
		return fmt.Errorf("recovered term %d, acknowledged %d", rec.HardState.Term, m.term)
	}
	if m.disk != "" && rec.DiskID != m.disk {
		return errors.New("disk ID changed")
	}
	err := m.equal(rec)
	if err == nil || pending.equal(rec) == nil {
		return nil
	}
	return err
}

// TestCrashAtEveryOperation guards against acknowledged data that is lost, and against
// data that was never saved, after a crash at any write, sync, rename, create or remove.
func TestCrashAtEveryOperation(t *testing.T) {
	for seed := range uint64(8) {
		probe := NewMemoryFS(seeded(seed))
		if _, err := new(model).run(probe, seeded(seed), 40); err != nil {
			t.Fatal(err)
		}
		for at := 1; at <= probe.Ops(); at++ {
			crashAndRecover(t, seed, at)
		}
	}
}

func crashAndRecover(t *testing.T, seed uint64, at int) {
	t.Helper()
	fs := NewMemoryFS(seeded(seed*1000 + uint64(at)))
	fs.CrashAfter(at)
	var m model
	pending, err := m.run(fs, seeded(seed), 40)
	if !fs.Crashed() || err == nil {
		t.Fatalf("seed %d, operation %d: no crash: %v", seed, at, err)
	}
	disk := fs.AfterCrash()
	// A second crash, during recovery, must not lose data either.
	disk.CrashAfter(1 + at%7)
	if s, _, err := Open(disk, "data", 600); err == nil {
		_ = s.Close()
	} else if !errors.Is(err, ErrCrashed) {
		t.Fatalf("seed %d, operation %d: first recovery: %v", seed, at, err)
	}
	disk = disk.AfterCrash()
	_, rec, err := Open(disk, "data", 600)
	if err != nil {
		t.Fatalf("seed %d, operation %d: recovery: %v", seed, at, err)
	}
	if err := m.verify(rec, pending); err != nil {
		t.Fatalf("seed %d, operation %d: %v", seed, at, err)
	}
	// What is saved after the recovery must survive the next restart too.
	next := model{term: rec.HardState.Term, entries: rec.Entries, disk: rec.DiskID}
	if rec.Snapshot != nil {
		next.snap = rec.Snapshot.Index
	}
	if _, err := next.run(disk, seeded(seed+1), 10); err != nil {
		t.Fatalf("seed %d, operation %d: after the recovery: %v", seed, at, err)
	}
	_, rec, err = Open(disk, "data", 600)
	if err != nil {
		t.Fatalf("seed %d, operation %d: restart after the recovery: %v", seed, at, err)
	}
	if err := next.equal(rec); err != nil {
		t.Fatalf("seed %d, operation %d: restart after the recovery: %v", seed, at, err)
	}
}

// TestCorruptionIsRefused guards against a damaged synced record that is treated as an
// incomplete write.
func TestCorruptionIsRefused(t *testing.T) {
	for _, suffix := range []string{walSuffix, snapshotSuffix, diskIDFile} {
		fs := NewMemoryFS(seeded(1))
		var m model
		if _, err := m.run(fs, seeded(3), 40); err != nil {
			t.Fatal(err)
		}
		names, _ := fs.ReadDir("data")
		for _, name := range names {
			if !strings.HasSuffix(name, suffix) {
				continue
			}
			fs.Corrupt("data/"+name, len(name)+2)
			break
		}
		if _, _, err := Open(fs, "data", 600); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: got %v, want ErrCorrupt", suffix, err)
		}
	}
}

// TestDamagedFrameBeforeValidFrame guards against synced frames that are dropped because
// they follow a damaged frame in the newest segment.
func TestDamagedFrameBeforeValidFrame(t *testing.T) {
	fs := NewMemoryFS(seeded(1))
	s, _, err := Open(fs, "data", 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	for i := uint64(1); i <= 3; i++ {
		if err := s.Save(nil, []Entry{{Index: i, Term: 1, Kind: 1, Data: []byte("command")}}); err != nil {
			t.Fatal(err)
		}
	}
	data, _ := fs.ReadFile("data/" + segmentName(1))
	fs.Corrupt("data/"+segmentName(1), len(data)-40)
	if _, _, err := Open(fs, "data", 1<<20); !errors.Is(err, ErrCorrupt) {
		t.Errorf("damaged middle frame: got %v, want ErrCorrupt", err)
	}
}

// TestOSFS guards against data that is lost on the operating system's file system, and
// against a data directory that is opened twice.
func TestOSFS(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	s, first, err := Open(OSFS{}, dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	entries := []Entry{{Index: 1, Term: 1, Kind: 1, Data: []byte("a")}, {Index: 2, Term: 1, Kind: 1}}
	if err := s.Save(&HardState{Term: 1, Vote: "v"}, entries); err != nil {
		t.Fatal(err)
	}
	if err := s.SaveSnapshot(Snapshot{Index: 1, Term: 1, Data: []byte("state")}); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(OSFS{}, dir, 0); err == nil {
		t.Error("the data directory was opened twice")
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	_, rec, err := Open(OSFS{}, dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	if rec.DiskID != first.DiskID || rec.HardState.Vote != "v" || len(rec.Entries) != 1 || string(rec.Snapshot.Data) != "state" {
		t.Errorf("recovered %+v", rec)
	}
}

// TestFormatVersion guards against reading a data directory of another format.
func TestFormatVersion(t *testing.T) {
	line := "briarferry 2 abc 00000000\n"
	if _, err := decodeDiskID([]byte(line)); !errors.Is(err, ErrFormat) {
		t.Errorf("got %v, want ErrFormat", err)
	}
}

// FuzzDecodeRecords guards against a damaged frame payload that makes decodeRecords or the
// replay panic, and against an error other than ErrCorrupt.
func FuzzDecodeRecords(f *testing.F) {
	f.Add(appendEntry(appendHardState(nil, HardState{Term: 3, Vote: "a"}), Entry{Index: 1, Term: 3, Kind: 1, Data: []byte("x")}))
	f.Add(appendReset(nil, 9, 2))
	f.Add([]byte{recordEntry, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		records, err := decodeRecords(b)
		if err != nil && !errors.Is(err, ErrCorrupt) {
			t.Fatal(err)
		}
		var p replay
		for _, rec := range records {
			if p.apply(rec) != nil {
				return
			}
		}
	})
}

// FuzzDecodeSnapshot guards against a damaged snapshot file that makes decodeSnapshot
// panic.
func FuzzDecodeSnapshot(f *testing.F) {
	fs := NewMemoryFS(seeded(1))
	_ = writeSnapshot(fs, "d", Snapshot{Index: 4, Term: 2, Meta: []byte("m"), Data: []byte("state")})
	b, _ := fs.ReadFile("d/" + snapshotName(4))
	f.Add(b)
	f.Add(b[:20])
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = decodeSnapshot(b) })
}

// FuzzReadSegment guards against a damaged segment that makes openWAL panic, and against an
// error other than ErrCorrupt and ErrFormat.
func FuzzReadSegment(f *testing.F) {
	frame := appendEntry(make([]byte, frameHeaderBytes), Entry{Index: 1, Term: 1, Kind: 1, Data: []byte("x")})
	writeFrameHeader(frame, 5, 0)
	f.Add(append(encodeSegmentHeader(1, 5), frame...))
	f.Add(encodeSegmentHeader(1, 5))
	f.Fuzz(func(t *testing.T, b []byte) {
		fs := NewMemoryFS(seeded(1))
		file, _ := fs.Create("d/" + segmentName(1))
		_, _ = file.Write(b)
		if _, _, err := openWAL(fs, "d", 100, []string{segmentName(1)}); err != nil && !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrFormat) {
			t.Fatal(err)
		}
	})
}
