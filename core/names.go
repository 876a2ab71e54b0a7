package core

var reasonNames = [...]string{
	ReasonNone: "none", ReasonNoManifest: "no-manifest", ReasonUnknownRoute: "unknown-route",
	ReasonUnknownKey: "unknown-key", ReasonNoContext: "no-context", ReasonOverQuota: "over-quota",
	ReasonQuotaUnavailable: "quota-unavailable", ReasonShed: "shed", ReasonOverloaded: "overloaded",
	ReasonNoEndpoint: "no-endpoint", ReasonDeadlineExceeded: "deadline", ReasonDraining: "draining",
	ReasonRetryBudgetExhausted: "budget-spent", ReasonAttemptFailed: "attempt-failed", ReasonDuplicate: "duplicate",
	ReasonWrongTarget: "wrong-target", ReasonIsolated: "isolated", ReasonBadBody: "bad-body", ReasonBodyTooLarge: "body-too-large",
	ReasonHeaderTooLarge: "header-too-large", ReasonTargetCold: "target-cold",
}

// String returns the reason's name in messages and logs.
func (r Reason) String() string { return reasonNames[r] }

// ParseReason returns the reason with the given name, or ReasonNone.
func ParseReason(name string) Reason {
	for r, n := range reasonNames {
		if n == name {
			return Reason(r)
		}
	}
	return ReasonNone
}

var executedNames = [...]string{ExecutedNo: "no", ExecutedUnknown: "unknown", ExecutedYes: "yes"}

// String returns the value's name in messages.
func (r Executed) String() string { return executedNames[r] }

// ParseExecuted returns the value with the given name, or ExecutedUnknown for any
// other name.
func ParseExecuted(name string) Executed {
	for r, n := range executedNames {
		if n == name {
			return Executed(r)
		}
	}
	return ExecutedUnknown
}

var actionNames = [...]string{
	ActionRefuse: "refuse", ActionRun: "run", ActionForward: "forward", ActionReplay: "replay", ActionDeliver: "deliver", ActionSettle: "settle",
}

// String returns the action's name in logs and metrics.
func (a Action) String() string { return actionNames[a] }

var noticeNames = [...]string{
	NoticeManifestActive: "manifest-in-force", NoticePeerJoined: "peer-joined", NoticePeerUnreachable: "peer-silent",
	NoticePeerRecovered: "peer-back", NoticePeerDraining: "peer-draining", NoticePeerRemoved: "peer-forgotten",
	NoticeShardAcquired: "shard-acquired", NoticeShardLost: "shard-lost", NoticeStoreUnreachable: "store-away",
	NoticeStoreRecovered: "store-back", NoticeDrainStarted: "drain-started", NoticeOwnerClockBehind: "owner-clock-behind",
	NoticeLocalClockBehind: "own-clock-behind",
	NoticeManifestRejected: "manifest-refused",
	NoticeTargetAvailable:  "target-opened", NoticeTargetUnavailable: "target-closed", NoticePlanUpdated: "planned",
	NoticeMemberRejected: "member-refused", NoticeMessageRejected: "message-refused",
	NoticeDepartureRecalled: "departure-recalled",
	NoticeEvacuationStarted: "evacuation-started", NoticeEvacuationEnded: "evacuation-ended",
	NoticeTargetCold: "target-cold", NoticeTargetRamping: "target-ramping", NoticeTargetWarm: "target-warm",
	NoticeServiceDeclining: "service-declining", NoticeServiceAccepting: "service-accepting",
	NoticeStoreEra: "store-era",
}

// String returns the notice's name in logs.
func (k NoticeKind) String() string { return noticeNames[k] }

var originNames = [...]string{FromCaller: "caller", FromTarget: "target", FromNode: "node", FromCallerOrTarget: "either"}

// String returns the origin's name in logs and metrics.
func (o Origin) String() string { return originNames[o] }

var causeNames = [...]string{
	CauseUnreachable: "unreachable", CauseRejected: "rejected", CauseConnectionLost: "broken", CauseTargetOverloaded: "declined", CauseTimeout: "timed-out",
}

// String returns the cause's name in logs and metrics.
func (c Cause) String() string { return causeNames[c] }
