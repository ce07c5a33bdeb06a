package bfgossip

import (
	"time"

	"briarferry/internal/coordination/bfmember"
	"briarferry/internal/protocol/bfwire"
)

// updateSynced marks this VM as synced if there is no VM to pull from: if this is the only
// VM, or if all VMs have just started.
func (n *Node) updateSynced(now time.Time) {
	if !n.Members.Connected() {
		n.connectedSince = time.Time{}
		return
	}
	if n.connectedSince.IsZero() {
		n.connectedSince = now
	}
	if n.Synced() {
		return
	}
	if n.Members.ExpectsPeers() {
		if now.Sub(n.connectedSince) < coldStartDelay {
			return
		}
		for _, p := range n.Members.Peers() {
			if p.Linked && (p.Flags&bfmember.FlagSynced != 0 || n.hasDifferentTable(p.VM.Name)) {
				return
			}
		}
	}
	n.setSynced("no synced VM was found")
}

// hasDifferentTable reports whether the digest of a VM's table has differed from this VM's
// in the last maxDigestMismatches heartbeats, or is unknown.
func (n *Node) hasDifferentTable(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[name]
	return p == nil || p.digestMismatches >= maxDigestMismatches
}

func (n *Node) setSynced(reason string) {
	if n.synced.CompareAndSwap(false, true) {
		n.Members.SetFlag(bfmember.FlagSynced, true)
		n.Log.Info().Str("reason", reason).Msg("table of backend servers is synced")
	}
}

func (n *Node) startPull(now time.Time, from string) {
	n.mu.Lock()
	running := n.pull != nil
	if !running {
		n.pull = &pull{from: from, progressAt: now, requestedAt: now, pending: make(map[uint64]*bfwire.Page)}
	}
	n.mu.Unlock()
	if !running {
		counters.pulls.Add(1)
		n.sendTo(from, &bfwire.Pull{From: n.Table.Origin, Pages: maxPagesPerPull})
	}
}

// retryPull requests pages again after messages were lost, and abandons the pull if none
// arrive.
func (n *Node) retryPull(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.pull
	switch {
	case p == nil || now.Sub(p.requestedAt) < pullTimeout || now.Sub(p.progressAt) < pullTimeout:
	case now.Sub(p.progressAt) > pullAttempts*pullTimeout:
		n.pull = nil // a later heartbeat starts the next pull, possibly from another VM
	default:
		n.requestPages(now, p)
	}
}

// requestPages requests the next pages, or only the missing page if later ones have
// arrived.
func (n *Node) requestPages(now time.Time, p *pull) {
	m := &bfwire.Pull{From: n.Table.Origin, After: p.cursor, Pages: maxPagesPerPull}
	if len(p.pending) > 0 {
		m.Pages = 1
	}
	p.requestedAt = now
	n.sendTo(p.from, m)
}

func (n *Node) answerPull(m *bfwire.Pull) {
	cursor, now := m.After, time.Now()
	count := min(int(m.Pages), maxPagesPerPull)
	for i := range count {
		records, next, more := n.Table.Page(now, cursor, bfwire.MaxPageRecords)
		n.sendTo(m.From, &bfwire.Page{From: n.Table.Origin, After: cursor, Next: next, Records: records,
			More: more, Last: i == count-1, Synced: n.Synced()})
		if !more {
			return
		}
		cursor = next
	}
}

func (n *Node) receivePage(m *bfwire.Page) {
	now := time.Now()
	for i := range m.Records {
		n.mergeRecord(now, m.Records[i])
	}
	if n.acceptPage(now, m) && m.Synced {
		n.setSynced("pulled from " + m.From)
	}
}

// acceptPage adds a page to the pull, moves the cursor past all pages without a gap and
// reports whether the pull is complete.
func (n *Node) acceptPage(now time.Time, m *bfwire.Page) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.pull
	if p == nil || p.from != m.From || m.After < p.cursor {
		return false
	}
	p.progressAt = now
	m.Records = nil
	p.pending[m.After] = m
	for page := p.pending[p.cursor]; page != nil; page = p.pending[p.cursor] {
		delete(p.pending, p.cursor)
		if !page.More {
			n.pull = nil
			if peer := n.peers[m.From]; peer != nil {
				peer.digestMismatches = 0
			}
			return true
		}
		p.cursor = page.Next
	}
	if m.Last || !m.More || len(p.pending) > 0 && now.Sub(p.requestedAt) > pullTimeout {
		n.requestPages(now, p)
	}
	return false
}
