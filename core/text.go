package core

var reasonNames = [...]string{
	NoReason: "none", NoManifest: "no-manifest", UnknownRoute: "unknown-route",
	UnknownKey: "unknown-key", NoContext: "no-context", OverQuota: "over-quota",
	QuotaUnavailable: "quota-unavailable", ShedByLevel: "shed", Overloaded: "overloaded",
	NoEndpoint: "no-endpoint", DeadlinePassed: "deadline", Draining: "draining",
	BudgetSpent: "budget-spent", AttemptFailed: "attempt-failed", Duplicate: "duplicate",
	WrongTarget: "wrong-target", Isolated: "isolated", BadBody: "bad-body", BodyTooLarge: "body-too-large",
	HeaderTooLarge: "header-too-large",
}

// String returns the reason's name on the wire and in logs.
func (r Reason) String() string { return reasonNames[r] }

// ReasonOf returns the reason of that name, or NoReason.
func ReasonOf(name string) Reason {
	for r, n := range reasonNames {
		if n == name {
			return Reason(r)
		}
	}
	return NoReason
}

var ranNames = [...]string{RanNo: "no", RanUnknown: "unknown", RanYes: "yes"}

// String returns the name on the wire.
func (r Ran) String() string { return ranNames[r] }

// RanOf returns the value of that name; anything unclear is RanUnknown.
func RanOf(name string) Ran {
	for r, n := range ranNames {
		if n == name {
			return Ran(r)
		}
	}
	return RanUnknown
}

var actionNames = [...]string{
	Refuse: "refuse", Run: "run", Forward: "forward", Replay: "replay", Deliver: "deliver", Settle: "settle",
}

// String returns the action's name.
func (a Action) String() string { return actionNames[a] }

var noticeNames = [...]string{
	ManifestInForce: "manifest-in-force", PeerJoined: "peer-joined", PeerSilent: "peer-silent",
	PeerBack: "peer-back", PeerDraining: "peer-draining", PeerForgotten: "peer-forgotten",
	ShardAcquired: "shard-acquired", ShardLost: "shard-lost", StoreAway: "store-away",
	StoreBack: "store-back", DrainStarted: "drain-started", OwnerClockBehind: "owner-clock-behind",
	OwnClockBehind:  "own-clock-behind",
	ManifestRefused: "manifest-refused",
	TargetOpened:    "target-opened", TargetClosed: "target-closed", Planned: "planned",
}

// String returns the notice's name in logs.
func (k NoticeKind) String() string { return noticeNames[k] }

var originNames = [...]string{FromCaller: "caller", FromTarget: "target", FromNode: "node", FromEither: "either"}

// String returns the origin's name in logs and metrics.
func (o Origin) String() string { return originNames[o] }

var causeNames = [...]string{
	Unreachable: "unreachable", Rejected: "rejected", Broken: "broken", Shed: "declined", TimedOut: "timed-out",
}

// String returns the cause's name in logs and metrics.
func (c Cause) String() string { return causeNames[c] }
