package bfreplica

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"briarferry/internal/state/bfstorage"
)

type (
	// Discovery makes the calls needed to form a group and to join one.
	Discovery interface {
		// Info asks the replica on a VM for its state.
		Info(ctx context.Context, vm string) (Info, error)
		// Pledge asks the replica on a VM to take its first entry only from the group that
		// former forms. It returns the replica's state; Former tells whom it is pledged to.
		Pledge(ctx context.Context, vm, former string) (Info, error)
		// Join asks the replica on a VM to add a learner, which only the leader does.
		Join(ctx context.Context, vm, id string) error
		// Leave tells the leader on a VM that a replica stops. It reports whether the replica
		// may end; otherwise the call has to be repeated.
		Leave(ctx context.Context, vm, id string) (mayStop bool, err error)
	}

	// Info describes a replica to others that form or join a group.
	Info struct {
		ID        string   `json:"id"`
		LastIndex uint64   `json:"last_index"`
		Leader    string   `json:"leader"`
		Voters    []string `json:"voters"`
		// FirstVoters are the voters in the group's first entry, or nil if the log no longer
		// holds it.
		FirstVoters []string `json:"first_voters"`
		// JoinOnly is true if the replica may not form a group.
		JoinOnly bool `json:"join_only"`
		// Former is the id of the replica that this one is pledged to; it formed the group of a
		// first voter. Replicas of earlier versions give none.
		Former string `json:"former"`
	}
)

// loadFormation restores what is stored about the forming of the group. The right to form it
// is stored, as a process that is started again has JoinOnly set.
func (n *Node) loadFormation(f bfstorage.Formation) error {
	n.formation = f
	if n.JoinOnly || f.MayForm || n.raft.LastIndex() > 0 {
		return nil
	}
	n.formation.MayForm = true
	return eris.Wrap(n.storage.SaveFormation(n.formation), "bfreplica: write formation")
}

// isFormer reports whether this replica is the one that forms the group: all control VMs
// reply with an empty log, and it is the first by name that may form a group. If those that may
// not are a majority, they may have lost the disks of a group that has committed entries.
func (n *Node) isFormer(replies map[string]Info) bool {
	if n.Info().JoinOnly || !slices.Contains(n.Control, n.VM) {
		return false
	}
	joinOnly := 0
	for _, vm := range n.Control {
		if vm == n.VM {
			continue
		}
		info := replies[vm]
		if VMOf(info.ID) != vm || info.LastIndex > 0 || vm < n.VM && !info.JoinOnly {
			return false
		}
		if info.JoinOnly {
			joinOnly++
		}
	}
	return joinOnly <= len(n.Control)/2
}

// form forms the group once all control VMs are pledged to this replica. Only the first
// control VM by name accepts a reply without a pledge, which is from an earlier version: there
// only that VM forms groups.
func (n *Node) form(ctx context.Context) {
	id := n.Info().ID
	replies := n.callReplicas(n.Control, func(vm string) (Info, error) { return n.Discovery.Pledge(ctx, vm, id) })
	if !n.isFormer(replies) {
		return
	}
	voters := []string{id}
	for _, info := range replies {
		if info.Former != id && (info.Former != "" || n.VM != slices.Min(n.Control)) {
			return
		}
		voters = append(voters, info.ID)
	}
	n.bootstrap(ctx, id, voters, func(pledged string) bool { return VMOf(pledged) <= n.VM })
}

// Pledge promises to take the first entry only from the group that former forms, unless this
// replica has a log, and returns its state.
func (n *Node) Pledge(ctx context.Context, former string) (Info, error) {
	var info Info
	err := n.callInLoop(ctx, func() error {
		// A request that its caller has given up has no effect.
		if ctx.Err() != nil {
			return nil
		}
		if err := n.pledge(former); err != nil {
			return err
		}
		n.publish()
		info = n.Info()
		return nil
	})
	if err == nil {
		err = ctx.Err()
	}
	return info, err
}

// pledge runs in the loop. A pledge only passes on to VMs later by name: one of those asks
// after it has seen that the earlier ones may not form the group, so the replica that had the
// pledge has lost its disk.
func (n *Node) pledge(former string) error {
	if n.raft.LastIndex() > 0 || VMOf(former) < VMOf(n.formation.Former) {
		return nil
	}
	return n.savePledge(former)
}

// adopt stores the first entry that another replica has, if this one is pledged to its former.
// It does so too if it is pledged to that replica, which will form no group of its own.
func (n *Node) adopt(ctx context.Context, info Info) bool {
	return n.bootstrap(ctx, info.Former, info.FirstVoters, func(pledged string) bool {
		return pledged == info.Former || pledged == info.ID
	})
}

// bootstrap stores the first entry of the group that former has formed if this replica has no
// log and its pledge allows that. It reports whether it did.
func (n *Node) bootstrap(ctx context.Context, former string, voters []string, allowed func(pledged string) bool) bool {
	formed := false
	err := n.callInLoop(ctx, func() error {
		if n.raft.LastIndex() > 0 || !allowed(n.formation.Former) {
			return nil
		}
		if err := n.savePledge(former); err != nil {
			return err
		}
		if formed = n.raft.Bootstrap(voters) == nil; formed {
			n.Log.Info().Str("former", former).Strs("voters", voters).Msg("group formed")
		}
		return nil
	})
	return err == nil && formed
}

func (n *Node) savePledge(former string) error {
	if n.formation.Former == former {
		return nil
	}
	n.formation.Former = former
	return eris.Wrap(n.storage.SaveFormation(n.formation), "bfreplica: write pledge")
}
