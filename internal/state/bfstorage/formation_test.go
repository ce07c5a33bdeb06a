package bfstorage

import (
	"errors"
	"math/rand/v2"
	"testing"
)

// TestFormation guards against a right or a pledge that is lost in a restart, or read from a
// damaged file.
func TestFormation(t *testing.T) {
	fsys := NewMemoryFS(rand.New(rand.NewPCG(1, 2)))
	for _, want := range []Formation{{}, {MayForm: true}, {MayForm: true, Former: "a/1"}, {Former: "b/2"}} {
		s, _, err := Open(fsys, "data", 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(s.SaveFormation(want), s.Close()); err != nil {
			t.Fatal(err)
		}
		s, rec, err := Open(fsys.AfterCrash(), "data", 0)
		if err != nil || rec.Formation != want {
			t.Fatalf("read %+v, %v; want %+v", rec, err, want)
		}
		_ = s.Close()
	}
	data := encodeFormation(Formation{MayForm: true, Former: "a/1"})
	for i := range data {
		damaged := append([]byte{}, data...)
		damaged[i] ^= 1
		if f, err := decodeFormation(damaged); err == nil {
			t.Errorf("byte %d was changed and %+v was read", i, f)
		}
	}
}
