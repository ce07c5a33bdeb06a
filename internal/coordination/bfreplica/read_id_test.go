package bfreplica

import (
	"testing"
	"testing/synctest"
)

// TestReadAfterClockSetBack guards against a reply to a read of an earlier process that answers one
// of the process after it, whose clock was set back to the same time.
func TestReadAfterClockSetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var earlier, later Node
		earlier.setup()
		later.setup()
		if earlier.lastReadID == later.lastReadID {
			t.Errorf("both processes number their reads from %d", later.lastReadID)
		}
	})
}
