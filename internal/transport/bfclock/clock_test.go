package bfclock

import (
	"testing"
	"time"
)

// TestSinceBoot guards against a clock of another unit or one that stands still.
func TestSinceBoot(t *testing.T) {
	started, before := time.Now(), SinceBoot()
	time.Sleep(20 * time.Millisecond)
	passed := SinceBoot() - before
	if most := time.Since(started); passed < 20*time.Millisecond || passed > most {
		t.Errorf("%v passed, want 20 ms to %v", passed, most)
	}
}
