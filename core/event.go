package core

import (
	"time"

	"celeryshelf/core/admit"
	"celeryshelf/core/manifest"
	"celeryshelf/core/member"
	"celeryshelf/core/plan"
	"celeryshelf/core/quota"
	"celeryshelf/core/retry"
)

// CallID names a call at one node; it is the span id that the call's hop has.
type CallID uint64

// Origin tells from which side a call reached the node.
type Origin uint8

// Origins of a call.
const (
	FromCaller Origin = iota // an outside caller with a key
	FromTarget               // the local target, for a call it is running
	FromNode                 // a node that has already let the call in
	FromEither               // a caller, or the local target without naming the running call
)

// Event is something that happened at or around the node.
type Event interface{ event() }

// Pass is what travels with a call from node to node.
type Pass struct {
	Target    string // name of the endpoint meant to run the call
	Workspace string
	Route     string
	From      string // service beside whose node the call entered the fleet
	Rank      admit.Rank
	Budget    int           // extra attempts that the call's tree may still make
	Timeout   time.Duration // time left
	Once      bool          // must run at most once
	Repeat    uint64        // digest of the Idempotency-Key, 0 if none
}

// Arrive says that a call has come in. The sender must not change it until the
// call has ended.
type Arrive struct {
	Call       CallID
	Origin     Origin
	Route      string
	Key        manifest.Digest // FromCaller: digest of the key
	Keyed      bool            // FromCaller: a key came with the call
	Parent     CallID          // FromTarget: the running call on whose behalf it is made
	Seed       uint64          // FromCaller: identifies the root call
	Request    uint64          // FromTarget: digest of what is asked, alike for repeats
	Repeat     uint64          // digest of the Idempotency-Key, 0 if none
	Timeout    time.Duration   // time the sender allows, 0 if it did not say
	Replayable bool            // the request can be sent again
	ID         string          // the sender's name for the request
	ParentID   string          // FromEither: name of the request it is made for, if it tells
	Pass       Pass            // FromNode: what the sending node passed on
}

// Cause tells why an attempt brought no answer.
type Cause uint8

// Causes of a failed attempt.
const (
	Unreachable Cause = iota // no connection could be made
	Rejected                 // the other node refused the call
	Broken                   // the connection failed under the call
	Shed                     // the target refused the call as overloaded
	TimedOut                 // no answer by the deadline
)

// Load is what a node told of its target with an answer or a refusal.
type Load struct {
	Told  bool
	Share float64 // calls at the target, those that wait included, by its slots
}

// Fail says that an attempt failed before any of its answer was passed on.
type Fail struct {
	Call    CallID
	Cause   Cause
	Ran     Ran
	Reason  Reason // what the other node said, if Rejected
	Level   admit.Level
	Unspent int
	Load    Load // of the endpoint, if its node told
}

// Finish says that a call has ended and its answer was passed on.
type Finish struct {
	Call    CallID
	Whole   bool // the answer came complete
	Failed  bool // its status reports a failure
	Shed    bool // the target refused it as overloaded
	Level   admit.Level
	Unspent int
	Load    Load // of the endpoint, if its node told
}

// Cancel says that whoever sent the call has given it up.
type Cancel struct {
	Call CallID
}

// Tick says that time has passed.
type Tick struct{}

// Tuned says that settings have changed.
type Tuned struct {
	Revoke  time.Duration // see Settings
	Retries retry.Bound   // see Settings
}

// Drain says that the node is to leave.
type Drain struct {
	// Shut is for how long the node still lets calls in, 0 if its callers' sides
	// close by themselves.
	Shut time.Duration
	// Open is for how long the local target still gets calls of other nodes.
	Open time.Duration
}

// LeaseHeld says that the store lease is certainly held until the given time.
type LeaseHeld struct {
	Until time.Time
}

// LeaseLost says that the store lease has run out.
type LeaseLost struct{}

// StoreUp says whether the store answers.
type StoreUp struct {
	Up bool
}

// ShardRecord is the store's record of who owns a shard.
type ShardRecord struct {
	Shard quota.Shard `json:"shard"`
	Owner string      `json:"owner"`
}

// Snapshot is the whole content of the store.
type Snapshot struct {
	Manifest *manifest.Versioned // nil if there is none
	Members  []member.Member
	Shards   []ShardRecord
	Costs    []plan.RouteCost // see CostsSeen
}

// CostsSeen says what the store holds of what calls cost, as the planner last knew it.
type CostsSeen struct {
	Rows []plan.RouteCost
}

// ManifestSeen says that the store holds a manifest.
type ManifestSeen struct {
	Manifest manifest.Versioned
}

// Confirmed says that the store's newest manifest at an instant had that version.
type Confirmed struct {
	Version uint64
	At      time.Time // before the store was asked
}

// TargetSeen is a heartbeat of the local target.
type TargetSeen struct {
	Heartbeat Heartbeat
}

// TargetGone says that the local target has ended its registration.
type TargetGone struct {
	ID string
}

// MemberSeen says that the store holds an announcement.
type MemberSeen struct {
	Member member.Member
}

// MemberGone says that an announcement has left the store.
type MemberGone struct {
	Name string
}

// ShardSeen says that the store holds a shard's record.
type ShardSeen struct {
	ShardRecord
}

// ShardGone says that a shard's record has left the store.
type ShardGone struct {
	Shard quota.Shard
}

// ClaimDone is the outcome of a Claim.
type ClaimDone struct {
	Shard quota.Shard
	Held  bool // the record is this node's, under its present lease
}

// Received says that a message came from a peer.
type Received struct {
	From string // name of the peer
	Body Message
}

// PeerReach says whether a peer could be reached.
type PeerReach struct {
	Name    string
	Reached bool
}

func (*Arrive) event()       {}
func (*Fail) event()         {}
func (*Finish) event()       {}
func (*Cancel) event()       {}
func (*Tick) event()         {}
func (*Tuned) event()        {}
func (*Drain) event()        {}
func (*LeaseHeld) event()    {}
func (*LeaseLost) event()    {}
func (*StoreUp) event()      {}
func (*Snapshot) event()     {}
func (*ManifestSeen) event() {}
func (*Confirmed) event()    {}
func (*TargetSeen) event()   {}
func (*TargetGone) event()   {}
func (*MemberSeen) event()   {}
func (*MemberGone) event()   {}
func (*ShardSeen) event()    {}
func (*ShardGone) event()    {}
func (*ClaimDone) event()    {}
func (*CostsSeen) event()    {}
func (*Received) event()     {}
func (*PeerReach) event()    {}
