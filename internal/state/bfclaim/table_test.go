package bfclaim

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"briarferry"
)

var (
	testLimits = Limits{Retention: 7 * 24 * time.Hour, MaxTimeout: time.Minute, Capacity: 1000}
	epoch      = time.UnixMilli(1_700_000_000_000)
)

type step struct {
	op     string
	token  string
	seen   uint64
	digest byte
	after  time.Duration
	answer int
	want   briarferry.ClaimResult
}

func (s step) run(t *Table, index uint64, now time.Time) Reply {
	c := briarferry.Claim{Service: "orders", Key: "k", Token: s.token, SeenIndex: s.seen, Digest: [32]byte{s.digest}}
	switch s.op {
	case "claim":
		return t.Claim(index, now, c)
	case "complete":
		return t.Complete(index, now, c, bytes.Repeat([]byte("x"), s.answer))
	case "release":
		return t.Release(index, now, c)
	}
	return t.Refuse(index, now, c)
}

// TestClaimRules guards against a key whose request runs twice, and against a caller that
// is told not_run although a later or delayed attempt then runs the request. The steps
// have the log indexes 101, 102, ...
func TestClaimRules(t *testing.T) {
	const pastRefusal = 76 * time.Second // later than MaxTimeout + DelayMargin, 75 s
	tests := map[string][]step{
		"repeated claim is granted":             {{op: "claim", token: "a", want: "granted"}, {op: "claim", token: "a", want: "granted"}},
		"other attempt gets held":               {{op: "claim", token: "a", want: "granted"}, {op: "claim", token: "b", seen: 200, want: "held"}},
		"other body":                            {{op: "claim", token: "a", want: "granted"}, {op: "claim", token: "b", digest: 1, want: "mismatch"}},
		"refusal with other body":               {{op: "claim", token: "a", want: "granted"}, {op: "refuse", token: "b", digest: 1, want: "mismatch"}},
		"completed is not run again":            {{op: "claim", token: "a", want: "granted"}, {op: "complete", token: "a", answer: 9, want: "completed"}, {op: "claim", token: "b", seen: 200, want: "completed"}},
		"only the holder completes":             {{op: "claim", token: "a", want: "granted"}, {op: "complete", token: "b", want: "held"}},
		"completion is not undone":              {{op: "claim", token: "a", want: "granted"}, {op: "complete", token: "a", want: "completed"}, {op: "release", token: "a", want: "completed"}},
		"release lets a resend run":             {{op: "claim", token: "a", want: "granted"}, {op: "release", token: "a", want: "released"}, {op: "claim", token: "b", seen: 102, want: "granted"}},
		"release stops older attempt":           {{op: "claim", token: "a", want: "granted"}, {op: "release", token: "a", want: "released"}, {op: "claim", token: "b", seen: 101, want: "stale"}},
		"stale claim acts as a refusal":         {{op: "refuse", token: "a", want: "released"}, {op: "claim", token: "b", seen: 100, want: "stale"}, {op: "claim", token: "c", seen: 101, want: "stale"}, {op: "claim", token: "d", seen: 103, want: "granted"}},
		"delayed repeat of a release":           {{op: "claim", token: "a", want: "granted"}, {op: "release", token: "a", want: "released"}, {op: "claim", token: "b", seen: 102, want: "granted"}, {op: "release", token: "a", want: "held"}},
		"release before its claim":              {{op: "release", token: "a", seen: 100, want: "released"}, {op: "claim", token: "a", seen: 100, want: "stale"}},
		"refusal of a held key":                 {{op: "claim", token: "a", want: "granted"}, {op: "refuse", token: "b", want: "held"}},
		"refusal after a lost grant":            {{op: "claim", token: "a", want: "granted"}, {op: "refuse", token: "a", want: "released"}},
		"refusal outlives an attempt":           {{op: "refuse", token: "a", want: "released"}, {op: "claim", token: "b", seen: 100, after: 74 * time.Second, want: "stale"}},
		"attempt older than an expired refusal": {{op: "refuse", token: "a", want: "released"}, {op: "claim", token: "b", seen: 100, after: pastRefusal, want: "held"}},
		"new attempt after expiry":              {{op: "refuse", token: "a", want: "released"}, {op: "claim", token: "b", seen: 101, after: pastRefusal, want: "granted"}},
		"claim outlives a refusal":              {{op: "claim", token: "a", want: "granted"}, {op: "claim", token: "b", seen: 101, after: pastRefusal, want: "held"}},
		"claim expires after 7 days":            {{op: "claim", token: "a", want: "granted"}, {op: "claim", token: "b", seen: 101, after: 7*24*time.Hour + 1e6, want: "granted"}},
		"refusal older than an expired claim":   {{op: "claim", token: "a", want: "granted"}, {op: "refuse", token: "b", seen: 100, after: 7*24*time.Hour + 1e6, want: "held"}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			table, now := New(testLimits), epoch
			for i, s := range steps {
				now = now.Add(s.after)
				if got := s.run(table, uint64(101+i), now).Result; got != s.want {
					t.Fatalf("step %d (%s by %s): got %s, want %s", i, s.op, s.token, got, s.want)
				}
			}
		})
	}
}

// TestAnswers guards against an answer within the size limit that is not recorded, and
// against a larger one that is recorded.
func TestAnswers(t *testing.T) {
	for size, recorded := range map[int]bool{1: true, MaxAnswerBytes: true, MaxAnswerBytes + 1: false} {
		table := New(testLimits)
		step{op: "claim", token: "a"}.run(table, 1, epoch)
		step{op: "complete", token: "a", answer: size}.run(table, 2, epoch)
		r := step{op: "claim", token: "b", seen: 9}.run(table, 3, epoch)
		if r.Result != briarferry.ClaimCompleted || (len(r.Answer) == size) != recorded {
			t.Errorf("answer of %d bytes: got %s with %d bytes", size, r.Result, len(r.Answer))
		}
	}
}

// TestAnswerBudget guards against memory use that grows without bound with the recorded
// answers, and against answers that are dropped below the budget.
func TestAnswerBudget(t *testing.T) {
	p := &partition{records: map[id]*record{}}
	for range 100 {
		p.addAnswer(&record{state: stateCompleted}, make([]byte, MaxAnswerBytes))
	}
	if p.answerBytes > answerBudget || p.answerBytes < answerBudget-MaxAnswerBytes {
		t.Errorf("partition holds %d bytes of answers", p.answerBytes)
	}
}

// TestCapacity guards against a table that grows beyond its capacity, against a full one
// that can't record refusals, and against records that stay after their retention time.
func TestCapacity(t *testing.T) {
	limits := testLimits
	limits.Capacity = 40
	table := New(limits)
	results := map[briarferry.ClaimResult]int{}
	for i := range 50 {
		results[table.Claim(uint64(i), epoch, testClaim(i)).Result]++
	}
	for i := 50; i < 70; i++ {
		results[table.Refuse(uint64(i), epoch, testClaim(i)).Result]++
	}
	if results[briarferry.ClaimGranted] != 40 || results[briarferry.ClaimReleased] != 11 || table.Len() != 51 {
		t.Errorf("got %v with %d records", results, table.Len())
	}
	later := epoch.Add(8 * 24 * time.Hour)
	for i := range uint64(partitionCount) {
		table.Expire(1000+i, later, 100)
	}
	if table.Len() != 0 {
		t.Errorf("%d records are left after their retention time", table.Len())
	}
}

func testClaim(i int) briarferry.Claim {
	return briarferry.Claim{Service: "orders", Key: fmt.Sprintf("order-%d-4f7c11e0", i), Token: fmt.Sprintf("token-%d", i), SeenIndex: 1 << 40}
}

func filledTable(n int) *Table {
	limits := testLimits
	limits.Capacity = n + 1
	t := New(limits)
	for i := range n {
		t.Claim(uint64(i), epoch, testClaim(i))
	}
	return t
}

// FuzzRestore guards against snapshots that make Restore panic, and against snapshots
// that change when they are restored and taken again.
func FuzzRestore(f *testing.F) {
	table := New(testLimits)
	for i := range 6 {
		table.Claim(uint64(i), epoch, testClaim(i))
	}
	table.Release(9, epoch, testClaim(1))
	table.Complete(10, epoch, testClaim(2), []byte("answer"))
	data := table.Snapshot()
	f.Add(data)
	f.Add([]byte{})
	f.Add(data[:len(data)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		restored, err := Restore(data, testLimits)
		if err != nil {
			return
		}
		first := restored.Snapshot()
		again, err := Restore(first, testLimits)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first, again.Snapshot()) {
			t.Fatal("snapshot changed when restored")
		}
	})
}

// BenchmarkClaim measures a claim on a table of 1,000,000 records, and the memory per
// record.
func BenchmarkClaim(b *testing.B) {
	before := heap()
	table := filledTable(1_000_000)
	perClaim := float64(heap()-before) / 1e6
	table.limits.Capacity = 1 << 40
	claims := make([]briarferry.Claim, 1<<16)
	for i := range claims {
		claims[i] = testClaim(2_000_000 + i)
	}
	i := 0
	for b.Loop() {
		table.Claim(uint64(i), epoch, claims[i%len(claims)])
		i++
	}
	b.ReportMetric(perClaim, "B/claim")
}

// BenchmarkSnapshot measures encoding and decoding a table of 1,000,000 records.
func BenchmarkSnapshot(b *testing.B) {
	table := filledTable(1_000_000)
	var data []byte
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			data = table.Snapshot()
		}
		b.ReportMetric(float64(len(data))/1e6, "MB")
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			if _, err := Restore(data, table.limits); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
