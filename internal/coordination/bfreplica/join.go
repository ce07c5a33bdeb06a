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
	replies := n.queryReplicas(ctx)
	for vm, info := range replies {
		if info.LastIndex > 0 {
			n.joinGroup(ctx, vm, info)
			return
		}
	}
	if n.isFormer(replies) {
		n.form(ctx)
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

// queryReplicas returns the state of the replicas on the other VMs that reply.
func (n *Node) queryReplicas(ctx context.Context) map[string]Info {
	return n.callReplicas(n.vmsToContact(), func(vm string) (Info, error) { return n.Discovery.Info(ctx, vm) })
}

// callReplicas returns the replies of the replicas on other VMs. It calls all of them
// concurrently, so that an unreachable VM doesn't delay the replies of others.
func (n *Node) callReplicas(vms []string, call func(vm string) (Info, error)) map[string]Info {
	var mu sync.Mutex
	var group sync.WaitGroup
	answers := map[string]Info{}
	for _, vm := range vms {
		if vm == n.VM {
			continue
		}
		group.Go(func() {
			info, err := call(vm)
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
	if slices.Contains(info.FirstVoters, n.Info().ID) && n.adopt(ctx, info) {
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

// Join adds another replica as a learner if this replica is the leader.
func (n *Node) Join(ctx context.Context, id string) error {
	if !n.OpenMembership && !slices.Contains(n.Control, VMOf(id)) {
		return eris.Errorf("bfreplica: %q is on no control VM", id)
	}
	var joinErr error
	err := n.callInLoop(ctx, func() error {
		if n.raft.Role() != bfraft.Leader {
			joinErr = briarferry.ErrNotLeader
			return nil
		}
		if !n.raft.Membership().Contains(id) {
			_, joinErr = n.raft.ProposeChange(bfraft.Change{Kind: bfraft.AddLearner, ID: id})
		}
		return nil
	})
	if err != nil {
		return err
	}
	return joinErr
}
