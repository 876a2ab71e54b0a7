package standalone

import (
	"context"
	"syscall"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/member"
	"celeryshelf/internal/control"
	"celeryshelf/io/operator"
)

// Status returns the state of the node, and of the fleet as the node knows it.
func (n *Node) Status(ctx context.Context) (operator.Status, error) {
	var view core.Status
	var owners []core.ShardRecord
	if !n.Inspect(ctx, func(s *core.State) { view, owners = s.Status(), s.ShardOwners() }) {
		return operator.Status{}, control.ErrStopped
	}
	out := operator.Status{
		Self: memberStatus(view.Self), Version: view.ManifestVersion, StoreReachable: view.StoreReachable,
		StoreCalls: n.store.Calls(), ControlBytesSent: n.SentBytes(), CPU: cpuTime().String(),
		Calls: view.Calls, OwnedShards: view.OwnedShards,
		Admission: operator.AdmissionStatus{
			Limit: view.Gate.Limit, Running: view.Gate.Running,
			Queued: view.Gate.Queued, MeanServiceTime: view.Gate.ServiceTime.String(),
		},
	}
	for _, p := range view.Peers {
		m := memberStatus(p.Member)
		m.Unreachable, m.SinceHeard = p.Unreachable, time.Since(p.LastHeard).Round(time.Millisecond).String()
		out.Members = append(out.Members, m)
	}
	for _, o := range owners {
		out.Shards = append(out.Shards, operator.Shard{
			Workspace: o.Shard.Workspace, Index: o.Shard.Index, Count: o.Shard.Count, Owner: o.Owner,
		})
	}
	return out, nil
}

func memberStatus(m member.Member) operator.Member {
	return operator.Member{
		Name: m.Name, Service: m.Service, Domain: m.Domain, Version: m.ManifestVersion, Draining: m.Draining,
	}
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
