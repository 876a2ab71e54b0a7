package main

import "context"

// experiment is one thing that can be measured.
type experiment struct {
	name        string
	description string
	target      string
	run         func(ctx context.Context, r options) (Result, error)
}

func experiments() []experiment {
	return []experiment{
		{"step", "reducer on one core", "steps >= 1,000,000, allocs 0", step},
		{"overhead", "latency added to a call by its two nodes", "added <= 0.41", overhead},
		{"overload", "demand of three times capacity", "ratio >= 0.95, vital >= 0.999, waste <= 0.03, p99 <= 2 calm", overload},
		{"recovery", "a deep service ten times slower for 10 s", "recover <= 1, off stays collapsed", recovery},
		{"fair", "one workspace at five times its rate", "worst >= 0.98", fair},
		{"once", "non-idempotent calls while nodes and targets fail", "doubled 0, lies 0 of 10,000", once},
		{"retries", "faults at every hop of a chain of eight", "tries <= 1.1, most <= 1 + budget", retries},
		{"quota", "demand within the rates, moving, and over them", "over 0, wrong <= 0.001, moving <= 0.01", quotas},
		{"rollout", "manifests applied, and keys withdrawn on open connections", "spread <= 2, back 0", rollout},
		{"storeout", "the store away for 30 s under load", "lost 0, wrong <= 0.001, over 0", storeout},
		{"paused", "an owner of shards stopped past its lease", "over 0", paused},
		{"silent", "a node whose connections stand and say nothing", "found <= 2", silent},
		{"roll", "every node replaced under load", "cut 0", roll},
		{"slopes", "what a node spends on control, over sizes", "none: the figures behind docs/CAPACITY.md", slopes},
		{"sidecar", "what a node of the users' platform costs", "served all, calls <= 1 while idle", sidecar},
		{"inside", "every workspace within its rate, one slow endpoint", "wrong <= 0.0005", inside},
	}
}
