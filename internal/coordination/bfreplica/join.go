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
	joinRetryInterval  = 300 * time.Millisecond
	joinAttemptTimeout = 2 * time.Second
)

// formOrJoin makes an empty replica part of a group: of a new one if every control VM
// replies and is empty, or of the existing one as a learner. In an open group it also
// rejoins a replica that was removed while it was unreachable.
func (n *Node) formOrJoin(ctx context.Context) {
	ticker := time.NewTicker(joinRetryInterval)
	defer ticker.Stop()
	for {
		switch {
		case n.Info().LastIndex == 0:
			n.tryFormOrJoin(ctx)
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

func (n *Node) tryFormOrJoin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinAttemptTimeout)
	defer cancel()
	ids := []string{n.Info().ID}
	for vm, info := range n.queryReplicas(ctx) {
		if info.LastIndex > 0 {
			n.joinGroup(ctx, vm, info)
			return
		}
		if VMOf(info.ID) == vm && slices.Contains(n.Control, vm) {
			ids = append(ids, info.ID)
		}
	}
	// Only the first VM by name forms a group; the others adopt its voters. Two forming
	// VMs could see different disk ids while one of the data directories is being replaced.
	if !n.JoinOnly && len(ids) == len(n.Control) && n.VM == slices.Min(n.Control) {
		n.bootstrap(ctx, ids)
	}
}

// tryRejoin asks the leader to add this replica if no leader was heard from for two
// election timeouts or since the start, as the replica may have left the group before. It
// finds the leader by asking the other replicas. The leader ignores the request of a member.
func (n *Node) tryRejoin(ctx context.Context) {
	if !n.leaderLost.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinAttemptTimeout)
	defer cancel()
	for vm, info := range n.queryReplicas(ctx) {
		if leader := VMOf(info.Leader); leader == vm && leader != n.VM {
			_ = n.Discovery.Join(ctx, leader, n.Info().ID)
			return
		}
	}
}

// vmsToContact returns the VMs to contact: those of Control and Seeds and, in an open
// group, those of the members.
func (n *Node) vmsToContact() []string {
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

// queryReplicas returns the state of the replicas on the other VMs that reply. It asks all
// of them concurrently, so that an unreachable VM doesn't delay the replies of others.
func (n *Node) queryReplicas(ctx context.Context) map[string]Info {
	var mu sync.Mutex
	var group sync.WaitGroup
	answers := map[string]Info{}
	for _, vm := range n.vmsToContact() {
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

// joinGroup joins the group of a replica that is not empty. A voter of the group's first
// entry adopts that entry; any other replica asks to be added as a learner.
func (n *Node) joinGroup(ctx context.Context, vm string, info Info) {
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
			if !n.joinLogged {
				n.Log.Info().Str("donor", target).Msg("joining group as learner")
			}
			n.joinLogged = true
			return
		}
	}
}

func (n *Node) bootstrap(ctx context.Context, voters []string) {
	_ = n.callInLoop(ctx, func() {
		if err := n.raft.Bootstrap(voters); err == nil {
			n.Log.Info().Strs("voters", voters).Msg("group formed")
		}
	})
}

// Join adds another replica as a learner if this replica is the leader.
func (n *Node) Join(ctx context.Context, id string) error {
	if !n.OpenMembership && !slices.Contains(n.Control, VMOf(id)) {
		return eris.Errorf("bfreplica: %q is on no control VM", id)
	}
	var joinErr error
	err := n.callInLoop(ctx, func() {
		if n.raft.Role() != bfraft.Leader {
			joinErr = briarferry.ErrNotLeader
			return
		}
		if !n.raft.Membership().Contains(id) {
			_, joinErr = n.raft.ProposeChange(bfraft.Change{Kind: bfraft.AddLearner, ID: id})
		}
	})
	if err != nil {
		return err
	}
	return joinErr
}
