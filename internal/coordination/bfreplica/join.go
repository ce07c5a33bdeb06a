package bfreplica

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"briarferry"
	"briarferry/internal/coordination/bfraft"
)

const (
	formInterval = 300 * time.Millisecond
	formTimeout  = 2 * time.Second
	// silentElections is the number of election timeouts without a word after which
	// an open group gives a member up. It outlasts restarts and short cuts.
	silentElections = 8
)

// form makes an empty replica part of a group: of a new one where every control VM
// is present and empty, or of the existing one as a learner. In an open group it also
// brings back a replica that was removed while it was away.
func (n *Node) form(ctx context.Context) {
	ticker := time.NewTicker(formInterval)
	defer ticker.Stop()
	for {
		switch {
		case n.Info().LastIndex == 0:
			n.tryForm(ctx)
		case !n.OpenMembership:
			return
		default:
			n.tryRejoin(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) tryForm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	ids := []string{n.Info().ID}
	for vm, info := range n.askAll(ctx) {
		if info.LastIndex > 0 {
			n.enter(ctx, vm, info)
			return
		}
		if VMOf(info.ID) == vm && slices.Contains(n.Control, vm) {
			ids = append(ids, info.ID)
		}
	}
	// Only the first VM by name starts a group; the others take its voters over.
	// Two starters could see different disk ids while one of the folders is replaced.
	if !n.JoinOnly && len(ids) == len(n.Control) && n.VM == slices.Min(n.Control) {
		n.bootstrap(ctx, ids)
	}
}

// tryRejoin asks the group to add this replica where it hears from no leader. The
// leader ignores it for a member.
func (n *Node) tryRejoin(ctx context.Context) {
	if !n.orphaned.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	for vm, info := range n.askAll(ctx) {
		if leader := VMOf(info.Leader); leader == vm && leader != n.VM {
			_ = n.Discovery.Join(ctx, leader, n.Info().ID)
			return
		}
	}
}

// known returns the VMs to ask: the named ones and those of the group's members.
func (n *Node) known() []string {
	vms := slices.Clone(n.Control)
	if n.Seeds != nil {
		vms = append(vms, n.Seeds()...)
	}
	if n.OpenMembership {
		s := n.Status()
		for _, id := range slices.Concat(s.Voters, s.Learners) {
			vms = append(vms, VMOf(id))
		}
	}
	slices.Sort(vms)
	return slices.Compact(vms)
}

// askAll returns what the replicas on the other control VMs answer. It asks all at
// once, so that a VM that is cut off delays no answer of another.
func (n *Node) askAll(ctx context.Context) map[string]Info {
	var mu sync.Mutex
	var group sync.WaitGroup
	answers := map[string]Info{}
	for _, vm := range n.known() {
		if vm == n.VM {
			continue
		}
		group.Go(func() {
			info, err := n.Discovery.Info(ctx, vm)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[vm] = info
		})
	}
	group.Wait()
	return answers
}

// enter joins the group of a replica that is not empty.
func (n *Node) enter(ctx context.Context, vm string, info Info) {
	if slices.Contains(info.FirstVoters, n.Info().ID) {
		n.bootstrap(ctx, info.FirstVoters)
		return
	}
	targets := []string{vm}
	if leader := VMOf(info.Leader); leader != "" && leader != vm {
		targets = append(targets, leader)
	}
	for _, target := range targets {
		if target != n.VM && n.Discovery.Join(ctx, target, n.Info().ID) == nil {
			if !n.joining {
				n.Log.Info().Str("donor", target).Msg("replica joins")
			}
			n.joining = true
			return
		}
	}
}

func (n *Node) bootstrap(ctx context.Context, voters []string) {
	_ = n.call(ctx, func() {
		if err := n.core.Bootstrap(voters); err == nil {
			n.Log.Info().Strs("voters", voters).Msg("group formed")
		}
	})
}

// Join adds an empty replica as a learner where this replica leads.
func (n *Node) Join(ctx context.Context, id string) error {
	if !n.OpenMembership && !slices.Contains(n.Control, VMOf(id)) {
		return eris.Errorf("bfreplica: %q is on no control VM", id)
	}
	var failed error
	err := n.call(ctx, func() {
		if n.core.Role() != bfraft.Leader {
			failed = briarferry.ErrNotLeader
			return
		}
		if !n.core.Membership().Contains(id) {
			_, failed = n.core.ProposeChange(bfraft.Change{Kind: bfraft.AddLearner, ID: id})
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// keepHouse runs about every half second. It ends lost reads and, on the leader,
// promotes learners that have caught up and removes replaced replicas.
func (n *Node) keepHouse() {
	n.housekeep++
	if n.housekeep%10 != 0 {
		return
	}
	n.expireReads()
	if n.core.Role() != bfraft.Leader {
		return
	}
	if c, ok := n.dueChange(); ok {
		if _, err := n.core.ProposeChange(c); err == nil {
			n.Log.Info().Str("id", c.ID).Uint8("kind", uint8(c.Kind)).Msg("membership change")
		}
	}
}

func (n *Node) dueChange() (bfraft.Change, bool) {
	m := n.core.Membership()
	for _, id := range m.Learners {
		if n.core.CaughtUp(id) {
			return bfraft.Change{Kind: bfraft.Promote, ID: id}, true
		}
	}
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if n.replaced(m, id) {
			return bfraft.Change{Kind: bfraft.Remove, ID: id}, true
		}
	}
	if id, ok := n.abandoned(m); ok {
		return bfraft.Change{Kind: bfraft.Remove, ID: id}, true
	}
	return bfraft.Change{}, false
}

// abandoned returns a member of an open group that was silent for long. A voter is
// given up only where the group has an even number of them: such a group bears no more
// losses than one with a voter fewer, so nothing is lost, and after a replacement
// under a new address the group has its old size again.
func (n *Node) abandoned(m bfraft.Membership) (string, bool) {
	if !n.OpenMembership {
		return "", false
	}
	candidates := m.Learners
	if len(m.Voters)%2 == 0 && len(m.Voters) > 2 {
		candidates = slices.Concat(m.Voters, m.Learners)
	}
	limit := silentElections * n.ticks(n.ElectionTimeout)
	for _, id := range candidates {
		if id != n.core.ID() && n.core.TicksSinceReply(id) >= limit {
			return id, true
		}
	}
	return "", false
}

// replaced tells whether a silent replica has a successor that answers on the same
// VM. A voter is removed only for a voter, so that the group never gets smaller.
func (n *Node) replaced(m bfraft.Membership, id string) bool {
	limit := n.ticks(n.ElectionTimeout)
	if id == n.core.ID() || n.core.TicksSinceReply(id) < limit {
		return false
	}
	successors := m.Voters
	if slices.Contains(m.Learners, id) {
		successors = slices.Concat(m.Voters, m.Learners)
	}
	for _, other := range successors {
		if other != id && VMOf(other) == VMOf(id) && n.core.TicksSinceReply(other) < limit {
			return true
		}
	}
	return false
}
