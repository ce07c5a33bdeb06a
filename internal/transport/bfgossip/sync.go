package bfgossip

import (
	"time"

	"briarferry/internal/coordination/bfmember"
	"briarferry/internal/protocol/bfwire"
)

// updateSynced covers the cases in which there is nobody to pull from: a VM alone,
// and a system whose VMs have all just started.
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
		if now.Sub(n.connectedSince) < coldStartAfter {
			return
		}
		for _, p := range n.Members.Peers() {
			if p.Linked && (p.Flags&bfmember.FlagSynced != 0 || n.differs(p.VM.Name)) {
				return
			}
		}
	}
	n.setSynced("no synced VM was found")
}

// differs tells whether a VM's table has differed from this one's for a while.
func (n *Node) differs(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[name]
	return p == nil || p.mismatches >= mismatchLimit
}

func (n *Node) setSynced(reason string) {
	if n.synced.CompareAndSwap(false, true) {
		n.Members.SetFlag(bfmember.FlagSynced, true)
		n.Log.Info().Str("reason", reason).Msg("table of backend servers is synced")
	}
}

func (n *Node) startPull(now time.Time, from string) {
	n.mu.Lock()
	busy := n.pull != nil
	if !busy {
		n.pull = &pull{from: from, progressAt: now, askedAt: now, ahead: make(map[uint64]*bfwire.Page)}
	}
	n.mu.Unlock()
	if !busy {
		counters.pulls.Add(1)
		n.sendTo(from, &bfwire.Pull{From: n.Table.Origin, Pages: pagesPerPull})
	}
}

// retryPull asks again where messages were lost, and gives up where none arrive.
func (n *Node) retryPull(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.pull
	switch {
	case p == nil || now.Sub(p.askedAt) < pullTimeout || now.Sub(p.progressAt) < pullTimeout:
	case now.Sub(p.progressAt) > pullAttempts*pullTimeout:
		n.pull = nil // a later heartbeat starts the next one, maybe from another VM
	default:
		n.ask(now, p)
	}
}

// ask requests the next pages, or only the missing one where later ones are here.
func (n *Node) ask(now time.Time, p *pull) {
	m := &bfwire.Pull{From: n.Table.Origin, After: p.cursor, Pages: pagesPerPull}
	if len(p.ahead) > 0 {
		m.Pages = 1
	}
	p.askedAt = now
	n.sendTo(p.from, m)
}

func (n *Node) answerPull(m *bfwire.Pull) {
	cursor, now := m.After, time.Now()
	count := min(int(m.Pages), pagesPerPull)
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
		n.merge(now, m.Records[i])
	}
	if n.advance(now, m) && m.Synced {
		n.setSynced("pulled from " + m.From)
	}
}

// advance moves the pull's cursor over the pages that are here and returns whether
// the pull is complete.
func (n *Node) advance(now time.Time, m *bfwire.Page) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.pull
	if p == nil || p.from != m.From || m.After < p.cursor {
		return false
	}
	p.progressAt = now
	m.Records = nil
	p.ahead[m.After] = m
	for page := p.ahead[p.cursor]; page != nil; page = p.ahead[p.cursor] {
		delete(p.ahead, p.cursor)
		if !page.More {
			n.pull = nil
			if peer := n.peers[m.From]; peer != nil {
				peer.mismatches = 0
			}
			return true
		}
		p.cursor = page.Next
	}
	if m.Last || !m.More || len(p.ahead) > 0 && now.Sub(p.askedAt) > pullTimeout {
		n.ask(now, p)
	}
	return false
}
