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
	FromCaller         Origin = iota // an outside caller with a key
	FromTarget                       // the local target, for a call it is running
	FromNode                         // a node that has already let the call in
	FromCallerOrTarget               // a caller, or the local target without naming the running call
)

// Event is something that happened at or around the node.
type Event interface{ event() }

// CallContext is what travels with a call from node to node.
type CallContext struct {
	Endpoint       string // name of the endpoint meant to run the call
	Workspace      string
	Route          string
	EntryService   string // service beside whose node the call entered the fleet
	Rank           admit.Rank
	RetryBudget    int           // extra attempts that the call's tree may still make
	Timeout        time.Duration // time left
	Once           bool          // must run at most once
	IdempotencyKey uint64        // digest of the Idempotency-Key, 0 if none
}

// CallArrived says that a call has come in. The sender must not change it until the
// call has ended.
type CallArrived struct {
	Call            CallID
	Origin          Origin
	Route           string
	KeyDigest       manifest.Digest // FromCaller: digest of the key
	HasKey          bool            // FromCaller: a key came with the call
	ParentCall      CallID          // FromTarget: the running call on whose behalf it is made
	RootID          uint64          // FromCaller: identifies the root call
	RequestHash     uint64          // FromTarget: digest of what is asked, alike for repeats
	IdempotencyKey  uint64          // digest of the Idempotency-Key, 0 if none
	Timeout         time.Duration   // time the sender allows, 0 if it did not say
	Replayable      bool            // the request can be sent again
	RequestID       string          // the sender's name for the request
	ParentRequestID string          // FromEither: name of the request it is made for, if it tells
	Context         CallContext     // FromNode: what the sending node passed on
}

// Cause tells why an attempt brought no answer.
type Cause uint8

// Causes of a failed attempt.
const (
	CauseUnreachable      Cause = iota // no connection could be made
	CauseRejected                      // the other node refused the call
	CauseConnectionLost                // the connection failed under the call
	CauseTargetOverloaded              // the target refused the call as overloaded
	CauseTimeout                       // no answer by the deadline
)

// TargetLoad is what a node told of its target with an answer or a refusal.
type TargetLoad struct {
	Known       bool
	Utilization float64 // calls at the target, those that wait included, by its slots
}

// AttemptFailed says that an attempt failed before any of its answer was passed on.
type AttemptFailed struct {
	Call           CallID
	Cause          Cause
	Executed       Executed
	Reason         Reason // what the other node said, if Rejected
	Level          admit.Level
	UnspentRetries int
	Load           TargetLoad // of the endpoint, if its node told
}

// CallFinished says that a call has ended and its answer was passed on.
type CallFinished struct {
	Call           CallID
	Complete       bool // the answer came complete
	Failed         bool // its status reports a failure
	Overloaded     bool // the target refused it as overloaded
	Level          admit.Level
	UnspentRetries int
	Load           TargetLoad // of the endpoint, if its node told
}

// CallCanceled says that whoever sent the call has given it up.
type CallCanceled struct {
	Call CallID
}

// Tick says that time has passed.
type Tick struct{}

// SettingsChanged says that settings have changed.
type SettingsChanged struct {
	MaxStaleness time.Duration      // see Settings
	RetryLimit   retry.ServiceLimit // see Settings
}

// DrainRequested says that the node is to leave.
type DrainRequested struct {
	// CallerGrace is for how long the node still lets calls in, 0 if its callers' sides
	// close by themselves.
	CallerGrace time.Duration
	// TargetGrace is for how long the local target still gets calls of other nodes.
	TargetGrace time.Duration
}

// LeaseHeld says that the store lease is certainly held until the given time.
type LeaseHeld struct {
	Until time.Time
}

// LeaseLost says that the store lease has run out.
type LeaseLost struct{}

// StoreReachability says whether the store answers.
type StoreReachability struct {
	Reachable bool
}

// ShardRecord is the store's record of who owns a shard.
type ShardRecord struct {
	Shard quota.Shard `json:"shard"`
	Owner string      `json:"owner"`
}

// StoreSnapshot is the whole content of the store.
type StoreSnapshot struct {
	Manifest *manifest.Versioned // nil if there is none
	Members  []member.Member
	Shards   []ShardRecord
	Costs    []plan.RouteCost // see CostsSeen
}

// CostsStored says what the store holds of what calls cost, as the planner last knew it.
type CostsStored struct {
	Rows []plan.RouteCost
}

// ManifestStored says that the store holds a manifest.
type ManifestStored struct {
	Manifest manifest.Versioned
}

// ManifestConfirmed says that the store's newest manifest at an instant had that version.
type ManifestConfirmed struct {
	Version uint64
	At      time.Time // before the store was asked
}

// HeartbeatReceived is a heartbeat of the local target.
type HeartbeatReceived struct {
	Heartbeat Heartbeat
}

// TargetDeregistered says that the local target has ended its registration.
type TargetDeregistered struct {
	InstanceID string
}

// MemberStored says that the store holds an announcement.
type MemberStored struct {
	Member member.Member
}

// MemberDeleted says that an announcement has left the store.
type MemberDeleted struct {
	Name string
}

// ShardStored says that the store holds a shard's record.
type ShardStored struct {
	ShardRecord
}

// ShardDeleted says that a shard's record has left the store.
type ShardDeleted struct {
	Shard quota.Shard
}

// ClaimDone is the outcome of a Claim.
type ClaimDone struct {
	Shard quota.Shard
	Held  bool // the record is this node's, under its present lease
}

// MessageReceived says that a message came from a peer.
type MessageReceived struct {
	From string // name of the peer
	Body Message
}

// PeerReachability says whether a peer could be reached.
type PeerReachability struct {
	Name      string
	Reachable bool
}

func (*CallArrived) event()        {}
func (*AttemptFailed) event()      {}
func (*CallFinished) event()       {}
func (*CallCanceled) event()       {}
func (*Tick) event()               {}
func (*SettingsChanged) event()    {}
func (*DrainRequested) event()     {}
func (*LeaseHeld) event()          {}
func (*LeaseLost) event()          {}
func (*StoreReachability) event()  {}
func (*StoreSnapshot) event()      {}
func (*ManifestStored) event()     {}
func (*ManifestConfirmed) event()  {}
func (*HeartbeatReceived) event()  {}
func (*TargetDeregistered) event() {}
func (*MemberStored) event()       {}
func (*MemberDeleted) event()      {}
func (*ShardStored) event()        {}
func (*ShardDeleted) event()       {}
func (*ClaimDone) event()          {}
func (*CostsStored) event()        {}
func (*MessageReceived) event()    {}
func (*PeerReachability) event()   {}
