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
	Verdicts  []Verdict
	Envelopes []Envelope
	Requests  []Request
	Notices   []Notice
	InForce   *manifest.Versioned // a manifest that has just come into force
}

func (e *Effects) reset() {
	clear(e.Envelopes)
	clear(e.Requests)
	clear(e.Notices)
	e.Verdicts = e.Verdicts[:0]
	e.Envelopes = e.Envelopes[:0]
	e.Requests = e.Requests[:0]
	e.Notices = e.Notices[:0]
	e.InForce = nil
}

// Action is what is to be done with a call.
type Action uint8

// Actions of a verdict.
const (
	Refuse  Action = iota // answer with Reason and Ran
	Run                   // hand to the local target
	Forward               // send to the node at Address
	Replay                // answer with the kept answer of the call Of
	Deliver               // pass on the failed answer in hand
	Settle                // ended; Level and Unspent go to the sending node
)

// Ran tells whether a refused call has reached a target.
type Ran uint8

// Values of Ran.
const (
	RanNo Ran = iota
	RanUnknown
	RanYes
)

// Reason tells why a call was refused.
type Reason uint8

// Reasons of a refusal.
const (
	NoReason         Reason = iota
	NoManifest              // no configuration is known yet
	UnknownRoute            // no route for method and path
	UnknownKey              // no or no valid key
	NoContext               // sent by a target without the context of a running call
	OverQuota               // the workspace's rate and burst are used up
	QuotaUnavailable        // nobody can prove the right to grant tokens
	ShedByLevel             // a service on the route's tree sheds calls of this rank
	Overloaded              // the target's queue is full of better calls
	NoEndpoint              // no endpoint of the service can take calls
	DeadlinePassed          // too little time was left
	Draining                // the node is leaving
	BudgetSpent             // the tree's extra attempts are used up
	AttemptFailed           // the attempt failed and may not be repeated
	Duplicate               // the Idempotency-Key may have run already
	WrongTarget             // meant for another endpoint
	Isolated                // neither store nor peers can be reached, so keys may be stale
	BadBody                 // the request ended before its body was whole
	BodyTooLarge            // the body exceeds the manifest's limit
	HeaderTooLarge          // the headers exceed the manifest's limit
)

// Verdict is the decision on one call.
type Verdict struct {
	Call     CallID
	Action   Action
	Reason   Reason
	Ran      Ran
	Endpoint string
	Instance string // Run: the target's incarnation, empty if it sends no heartbeats
	Address  netip.AddrPort
	Pass     Pass
	Deadline time.Time
	Retry    time.Duration // when a refused caller may try again
	Level    admit.Level
	Unspent  int
	Of       CallID
	Why      Why
}

// Why holds what a verdict was decided from, for the log.
type Why struct {
	Workspace string
	Version   uint64        // manifest in force
	Confirmed time.Duration // age of the proof that it was the newest
	Left      time.Duration // until the call's deadline
	Attempt   int
	Running   int     // calls at the local target
	Queued    int     // calls that wait for it
	Load      float64 // both by its slots
}

// Request is an operation on the store.
type Request interface{ request() }

// Announce writes the node's announcement under its lease.
type Announce struct {
	Member member.Member
}

// Claim takes a shard, if no record of it or of another split stands.
type Claim struct {
	Shard quota.Shard
	Rival []quota.Shard // shards of another split
}

// Release deletes the node's record of a shard.
type Release struct {
	Shard quota.Shard
}

// Verify asks for the store's newest manifest.
type Verify struct{}

// Watch starts or ends following the store's records of nodes and shards.
type Watch struct {
	On bool
}

func (*Watch) request() {}

// SaveCosts writes what calls cost, for planners that start with nothing.
type SaveCosts struct {
	Rows []plan.RouteCost
}

func (*Verify) request()    {}
func (*Announce) request()  {}
func (*Claim) request()     {}
func (*Release) request()   {}
func (*SaveCosts) request() {}

// NoticeKind tells what a notice reports.
type NoticeKind uint8

// Kinds of notices.
const (
	ManifestInForce NoticeKind = iota
	PeerJoined
	PeerSilent
	PeerBack
	PeerDraining
	PeerForgotten
	ShardAcquired
	ShardLost
	StoreAway
	StoreBack
	DrainStarted
	OwnerClockBehind
	OwnClockBehind
	ManifestRefused
	TargetOpened
	TargetClosed
	Planned
)

// Notice is something operators want in the log.
type Notice struct {
	Kind    NoticeKind
	Peer    string
	Shard   quota.Shard
	Version uint64
	Detail  string
}
