package main

import "context"

// experiment is a named measurement. target is the condition that its result must
// meet, as bench list prints it.
type experiment struct {
	name        string
	description string
	target      string
	run         func(ctx context.Context, r options) (Result, error)
}

func experiments() []experiment {
	return []experiment{
		{"step", "reducer on one core", "steps >= 1,000,000, allocs 0", step},
		{"place", "choice of targets by cost and remaining work (simulated)", "gain >= 0.5 at 0.9 of capacity, served-bound >= 0.95 at 1.3", place},
		{"overhead", "latency added to a call by its two nodes", "added <= 0.41", overhead},
		{"overload", "demand at three times the capacity", "ratio >= 0.95, vital >= 0.999, waste <= 0.03, p99 <= 2 calm", overload},
		{"recovery", "a deep service ten times slower for 10 s", "recover <= 1, off stays collapsed", recovery},
		{"fair", "one workspace sending at five times its rate limit", "worst >= 0.98", fair},
		{"once", "at-most-once execution of non-idempotent calls while nodes and targets fail", "doubled 0, lies 0 of 10,000", once},
		{"retries", "faults at every hop of a chain of eight", "tries <= 1.1, most <= 1 + budget", retries},
		{"quota", "demand within the rate limits, moving between nodes, and above the limits", "over 0, wrong <= 0.001, moving <= 0.01", quotas},
		{"rollout", "manifest propagation, and revocation of keys in use on open connections", "spread <= 2, back 0", rollout},
		{"storeout", "the store unreachable for 30 s under load", "lost 0, wrong <= 0.001, over 0", storeout},
		{"paused", "a shard owner suspended until after its lease expires", "over 0", paused},
		{"silent", "a node that keeps its connections open but does not respond", "found <= 2", silent},
		{"roll", "every node replaced under load", "cut 0", roll},
		{"slopes", "cost of the control plane per node, by fleet size, workspaces and call rate", "none: the figures behind docs/CAPACITY.md", slopes},
		{"sidecar", "resource usage of a node on the users' platform", "served all, calls <= 1 while idle", sidecar},
		{"inside", "every workspace within its rate limit, one slow endpoint", "wrong <= 0.0005", inside},
	}
}
