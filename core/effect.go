package core

import (
	"net/netip"
	"time"

	"celeryshelf/core/admit"
	"celeryshelf/core/evacuation"
	"celeryshelf/core/manifest"
	"celeryshelf/core/member"
	"celeryshelf/core/plan"
	"celeryshelf/core/quota"
	"celeryshelf/core/route"
)

// Effects lists what the caller of Step has to carry out. It is valid until the next
// call of Step.
type Effects struct {
	Verdicts      []Verdict
	Envelopes     []Envelope
	StoreRequests []StoreRequest
	Notices       []Notice
	// Acknowledgements lists the messages of the local target that may be acknowledged. What
	// they told is then not forgotten in a restart.
	Acknowledgements []AckID
	NewManifest      *manifest.Compiled // a manifest that has just become active
	// EncodedManifest is the encoding of a manifest that a peer has sent, nil if there is none. It
	// takes too long to decode for the control thread; ManifestDecoded reports the result.
	EncodedManifest []byte
	// Work is what responses to other nodes state of the work at the local target. Unlike the
	// other effects it is kept from step to step.
	Work route.Work
}

func (e *Effects) reset() {
	clear(e.Envelopes)
	clear(e.StoreRequests)
	clear(e.Notices)
	e.Verdicts = e.Verdicts[:0]
	e.Envelopes = e.Envelopes[:0]
	e.StoreRequests = e.StoreRequests[:0]
	e.Notices = e.Notices[:0]
	e.Acknowledgements = e.Acknowledgements[:0]
	e.NewManifest, e.EncodedManifest = nil, nil
}

// Action is what is done with a call.
type Action uint8

// Actions of a verdict.
const (
	ActionRefuse  Action = iota // respond with Reason and Executed
	ActionRun                   // pass to the local target
	ActionForward               // send to the node at Address
	ActionReplay                // respond with the stored response of the call ReplayOf
	ActionDeliver               // return the failed response that was already received
	ActionSettle                // call ended: report Level and UnspentRetries to the sending node
)

// Executed states whether a refused call has reached a target.
type Executed uint8

// Values of Executed.
const (
	ExecutedNo Executed = iota
	ExecutedUnknown
	ExecutedYes
)

// Reason states why a call was refused.
type Reason uint8

// Reasons of a refusal.
const (
	ReasonNone                 Reason = iota
	ReasonNoManifest                  // no manifest is known yet
	ReasonUnknownRoute                // no route matches method and path
	ReasonUnknownKey                  // the API key is missing or not valid
	ReasonNoContext                   // sent by a target without the context of a running call
	ReasonOverQuota                   // the workspace's rate and burst are used up
	ReasonQuotaUnavailable            // no shard of the workspace's quota has a known owner
	ReasonShed                        // overload control does not admit calls of this rank
	ReasonOverloaded                  // the target's queue is full of calls of higher rank
	ReasonNoEndpoint                  // no endpoint of the service accepts calls
	ReasonDeadlineExceeded            // not enough time left before the deadline
	ReasonDraining                    // the node or its target is draining
	ReasonRetryBudgetExhausted        // the call's tree has used up its retry budget
	ReasonAttemptFailed               // the attempt failed and may not be repeated
	ReasonDuplicate                   // a call with the same Idempotency-Key may have run
	ReasonWrongTarget                 // addressed to another endpoint
	ReasonIsolated                    // the manifest may be outdated, as neither store nor peers have confirmed it lately
	ReasonBadBody                     // the request ended before its body was complete
	ReasonBodyTooLarge                // the body exceeds the limit in the manifest
	ReasonHeaderTooLarge              // the headers exceed the limit in the manifest
	ReasonTargetCold                  // the target is cold and has received as many calls as it may for now
)

// Verdict is the decision on one call.
type Verdict struct {
	Call           CallID
	Action         Action
	Reason         Reason
	Executed       Executed
	Endpoint       string
	Instance       string // ActionRun: the target's instance ID, empty if it sends no heartbeats
	Address        netip.AddrPort
	Context        CallContext
	Deadline       time.Time     // until when the target works on the call and the sender gets its response, zero if not known
	AttemptEnd     time.Time     // ActionRun, ActionForward: when the attempt is given up, Deadline or later
	RetryAfter     time.Duration // ActionRefuse: delay before the caller may try again
	Level          admit.Level
	UnspentRetries int
	ReplayOf       CallID // ActionReplay: the call whose response is repeated
	Inputs         VerdictInputs
}

// VerdictInputs holds what a verdict was based on, for the log.
type VerdictInputs struct {
	Workspace       string
	ManifestVersion uint64        // version of the active manifest
	ManifestAge     time.Duration // time since it was last confirmed to be the newest
	Remaining       time.Duration // time until the call's deadline
	Attempt         int
	Running         int           // calls running at the local target
	Queued          int           // calls queued for the local target
	Load            float64       // running and queued calls divided by slots
	ColdFor         time.Duration // time for which the local target stays cold
	Work            route.Work
}

// StoreRequest is an operation on the store.
type StoreRequest interface{ request() }

// AnnounceMember writes the node's announcement under its lease.
type AnnounceMember struct {
	Member member.Member
}

// ClaimShard creates the record of a shard unless one exists for it or for a
// conflicting shard.
type ClaimShard struct {
	Shard       quota.Shard
	Conflicting []quota.Shard // shards of another split of the workspace
}

// ReleaseShard deletes the node's record of a shard.
type ReleaseShard struct {
	Shard quota.Shard
}

// ReleaseAllShards deletes the node's records of all shards.
type ReleaseAllShards struct{}

// VerifyManifest reads the newest manifest from the store.
type VerifyManifest struct{}

// SetWatch starts or stops watching the member and shard records in the store.
type SetWatch struct {
	Enabled bool
}

// SaveCosts writes the call costs, which planners without observations start from.
type SaveCosts struct {
	Rows []plan.RouteCost
}

// SaveDepartures replaces the stored departures of the node's target. DeparturesSaved confirms
// it.
type SaveDepartures struct {
	Revision   uint64
	Departures []Departure
}

func (*SaveDepartures) request()   {}
func (*VerifyManifest) request()   {}
func (*AnnounceMember) request()   {}
func (*ClaimShard) request()       {}
func (*ReleaseShard) request()     {}
func (*ReleaseAllShards) request() {}
func (*SetWatch) request()         {}
func (*SaveCosts) request()        {}

// NoticeKind is the kind of event that a notice reports.
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
	NoticeMemberRejected
	NoticeMessageRejected
	NoticeDepartureRecalled
	NoticeEvacuationStarted
	NoticeEvacuationEnded
	NoticeTargetCold
	NoticeTargetRamping
	NoticeTargetWarm
	NoticeServiceDeclining
	NoticeServiceAccepting
	NoticeStoreEra
)

// Notice is an event for the operators' log.
type Notice struct {
	Kind    NoticeKind
	Peer    string
	Shard   quota.Shard
	Version uint64
	Detail  string
	// Evacuation is set in notices on evacuations.
	Evacuation evacuation.Domain
}
