package core

import (
	"net/netip"
	"time"

	"celeryshelf/core/admit"
	"celeryshelf/core/manifest"
	"celeryshelf/core/member"
	"celeryshelf/core/plan"
	"celeryshelf/core/quota"
)

// Effects is what a step asks to be done. It is valid until the next step.
type Effects struct {
	Verdicts      []Verdict
	Envelopes     []Envelope
	StoreRequests []StoreRequest
	Notices       []Notice
	NewManifest   *manifest.Versioned // a manifest that has just come into force
}

func (e *Effects) reset() {
	clear(e.Envelopes)
	clear(e.StoreRequests)
	clear(e.Notices)
	e.Verdicts = e.Verdicts[:0]
	e.Envelopes = e.Envelopes[:0]
	e.StoreRequests = e.StoreRequests[:0]
	e.Notices = e.Notices[:0]
	e.NewManifest = nil
}

// Action is what is to be done with a call.
type Action uint8

// Actions of a verdict.
const (
	ActionRefuse  Action = iota // answer with Reason and Ran
	ActionRun                   // hand to the local target
	ActionForward               // send to the node at Address
	ActionReplay                // answer with the kept answer of the call Of
	ActionDeliver               // pass on the failed answer in hand
	ActionSettle                // ended; Level and Unspent go to the sending node
)

// Executed tells whether a refused call has reached a target.
type Executed uint8

// Values of Ran.
const (
	ExecutedNo Executed = iota
	ExecutedUnknown
	ExecutedYes
)

// Reason tells why a call was refused.
type Reason uint8

// Reasons of a refusal.
const (
	ReasonNone                 Reason = iota
	ReasonNoManifest                  // no configuration is known yet
	ReasonUnknownRoute                // no route for method and path
	ReasonUnknownKey                  // no or no valid key
	ReasonNoContext                   // sent by a target without the context of a running call
	ReasonOverQuota                   // the workspace's rate and burst are used up
	ReasonQuotaUnavailable            // nobody can prove the right to grant tokens
	ReasonShed                        // a service on the route's tree sheds calls of this rank
	ReasonOverloaded                  // the target's queue is full of better calls
	ReasonNoEndpoint                  // no endpoint of the service can take calls
	ReasonDeadlineExceeded            // too little time was left
	ReasonDraining                    // the node is leaving
	ReasonRetryBudgetExhausted        // the tree's extra attempts are used up
	ReasonAttemptFailed               // the attempt failed and may not be repeated
	ReasonDuplicate                   // the Idempotency-Key may have run already
	ReasonWrongTarget                 // meant for another endpoint
	ReasonIsolated                    // neither store nor peers can be reached, so keys may be stale
	ReasonBadBody                     // the request ended before its body was whole
	ReasonBodyTooLarge                // the body exceeds the manifest's limit
	ReasonHeaderTooLarge              // the headers exceed the manifest's limit
)

// Verdict is the decision on one call.
type Verdict struct {
	Call           CallID
	Action         Action
	Reason         Reason
	Executed       Executed
	Endpoint       string
	Instance       string // Run: the target's incarnation, empty if it sends no heartbeats
	Address        netip.AddrPort
	Context        CallContext
	Deadline       time.Time
	RetryAfter     time.Duration // when a refused caller may try again
	Level          admit.Level
	UnspentRetries int
	ReplayOf       CallID
	Inputs         VerdictInputs
}

// VerdictInputs holds what a verdict was decided from, for the log.
type VerdictInputs struct {
	Workspace       string
	ManifestVersion uint64        // manifest in force
	ManifestAge     time.Duration // age of the proof that it was the newest
	Remaining       time.Duration // until the call's deadline
	Attempt         int
	Running         int     // calls at the local target
	Queued          int     // calls that wait for it
	Load            float64 // both by its slots
}

// StoreRequest is an operation on the store.
type StoreRequest interface{ request() }

// AnnounceMember writes the node's announcement under its lease.
type AnnounceMember struct {
	Member member.Member
}

// ClaimShard takes a shard, if no record of it or of another split stands.
type ClaimShard struct {
	Shard       quota.Shard
	Conflicting []quota.Shard // shards of another split
}

// ReleaseShard deletes the node's record of a shard.
type ReleaseShard struct {
	Shard quota.Shard
}

// VerifyManifest asks for the store's newest manifest.
type VerifyManifest struct{}

// SetWatch starts or ends following the store's records of nodes and shards.
type SetWatch struct {
	Enabled bool
}

func (*SetWatch) request() {}

// SaveCosts writes what calls cost, for planners that start with nothing.
type SaveCosts struct {
	Rows []plan.RouteCost
}

func (*VerifyManifest) request() {}
func (*AnnounceMember) request() {}
func (*ClaimShard) request()     {}
func (*ReleaseShard) request()   {}
func (*SaveCosts) request()      {}

// NoticeKind tells what a notice reports.
type NoticeKind uint8

// Kinds of notices.
const (
	NoticeManifestActive NoticeKind = iota
	NoticePeerJoined
	NoticePeerUnreachable
	NoticePeerRecovered
	NoticePeerDraining
	NoticePeerRemoved
	NoticeShardAcquired
	NoticeShardLost
	NoticeStoreUnreachable
	NoticeStoreRecovered
	NoticeDrainStarted
	NoticeOwnerClockBehind
	NoticeLocalClockBehind
	NoticeManifestRejected
	NoticeTargetAvailable
	NoticeTargetUnavailable
	NoticePlanUpdated
)

// Notice is something operators want in the log.
type Notice struct {
	Kind    NoticeKind
	Peer    string
	Shard   quota.Shard
	Version uint64
	Detail  string
}
