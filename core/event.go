package core

import (
	"time"

	"celeryshelf/core/admit"
	"celeryshelf/core/evacuation"
	"celeryshelf/core/manifest"
	"celeryshelf/core/member"
	"celeryshelf/core/plan"
	"celeryshelf/core/quota"
	"celeryshelf/core/retry"
	"celeryshelf/core/route"
	"celeryshelf/core/warmup"
)

// CallID identifies a call at one node. It is the span ID of the call's hop.
type CallID uint64

// Origin is the kind of sender from which a call reached the node.
type Origin uint8

// Origins of a call.
const (
	FromCaller         Origin = iota // an external caller
	FromTarget                       // the local target, on behalf of a call that it is running
	FromNode                         // another node, which has already admitted the call
	FromCallerOrTarget               // a caller or the local target, told apart by API key and ParentRequestID
)

// Event is an input of the reducer: something that happened at the node or that was
// reported to it.
type Event interface{ event() }

// CallContext is the state of a call that travels with it from node to node.
type CallContext struct {
	Endpoint        string // endpoint chosen to run the call
	Workspace       string
	Route           string
	EntryService    string // service of the node at which the call entered the fleet
	Rank            admit.Rank
	RetryBudget     int           // retries that the call's tree may still make
	Timeout         time.Duration // time left until the deadline
	AtMostOnce      bool          // must run at most once
	IdempotencyHash uint64        // hash of the Idempotency-Key header, 0 if absent
}

// CallArrived reports a new call. The sender must not modify the event until the
// call has ended. The reducer updates its Route if a newer manifest has become active since
// the lookup.
type CallArrived struct {
	Call            CallID
	Origin          Origin
	Route           RouteLookup     // unless FromNode
	KeyDigest       manifest.Digest // FromCaller: digest of the API key
	HasKey          bool            // FromCaller: the call carries an API key
	ParentCall      CallID          // FromTarget: the running call that made this one
	RootID          uint64          // FromCaller: identifies the root call
	RequestHash     uint64          // FromTarget: hash of the request, the same for repeats
	IdempotencyHash uint64          // hash of the Idempotency-Key header, 0 if absent
	Timeout         time.Duration   // timeout set by the sender, 0 if none
	Replayable      bool            // the request can be sent again
	RequestID       string          // request ID set by the sender
	ParentRequestID string          // FromCallerOrTarget: request ID of the call that made this one, if given
	Context         CallContext     // FromNode: context received from the sending node
}

// Cause is the kind of failure of an attempt that produced no response.
type Cause uint8

// Causes of a failed attempt.
const (
	CauseUnreachable      Cause = iota // the connection could not be established
	CauseRejected                      // the endpoint's node refused the call
	CauseConnectionLost                // the connection failed during the call
	CauseTargetOverloaded              // the target refused the call as overloaded
	CauseTimeout                       // no response before the deadline
)

// TargetLoad is the load of a target, as its node reports it with a response or a
// refusal.
type TargetLoad struct {
	Known       bool          // the node reported a load
	Utilization float64       // running and queued calls divided by slots
	ColdFor     time.Duration // time for which the target stays cold, 0 if it is not
	Work        Work          // zero if the node published none
}

// Work is what a node publishes of the work at its target.
type Work struct {
	route.Work
	Took time.Duration // service time of the call that the figures came with, 0 if it was refused
	At   time.Time     // when the response's headers arrived; its body may take long
}

// LoadReport is the load that the local target reports with a response.
type LoadReport struct {
	Known    bool
	Running  int       // calls that it runs
	Waiting  int       // calls that wait in it
	Slots    int       // calls that it can run concurrently
	At       time.Time // when the response's headers arrived
	Slowness float64   // how long work takes at present, as a multiple of the usual, 1 if not reported
}

// AttemptFailed reports an attempt that failed before any part of its response was
// passed on.
type AttemptFailed struct {
	Call           CallID
	Cause          Cause
	Executed       Executed
	Reason         Reason      // CauseRejected: the reason given by the other node
	Level          admit.Level // admission level reported downstream
	UnspentRetries int         // unused part of the forwarded retry budget
	Load           TargetLoad  // of the endpoint
	Report         TargetReport
}

// CallFinished reports that a call has ended and its response has been passed on.
type CallFinished struct {
	Call           CallID
	Complete       bool        // the response was complete
	Failed         bool        // the response status is a failure
	Overloaded     bool        // the target refused the call as overloaded
	Level          admit.Level // admission level reported downstream
	UnspentRetries int         // unused part of the forwarded retry budget
	Load           TargetLoad  // of the endpoint
	Report         TargetReport
}

// CallCanceled reports that the sender has abandoned the call.
type CallCanceled struct {
	Call CallID
}

// Tick reports that time has passed.
type Tick struct{}

// SettingsChanged reports new values of settings.
type SettingsChanged struct {
	MaxStaleness time.Duration      // see Settings
	RetryLimit   retry.ServiceLimit // see Settings
	WarmupBound  warmup.Bound       // see Settings
}

// DrainRequested starts the drain of the node.
type DrainRequested struct {
	// CallerGrace is how long the node still accepts calls from callers, 0 for no
	// limit because the caller listeners are closed separately.
	CallerGrace time.Duration
	// TargetGrace is how long the local target still receives calls from other
	// nodes.
	TargetGrace time.Duration
	// Limit is the time after which the calls in progress are cut off, 0 for no limit.
	Limit time.Duration
}

// LeaseHeld reports that the store lease is guaranteed to be held until the given
// time.
type LeaseHeld struct {
	Until time.Time
}

// LeaseLost reports that the store lease has expired.
type LeaseLost struct{}

// StoreEra reports the era of the store's content, before any event from an answer of that era.
// It is reported when the first answer names it and whenever it rises, which means that the
// store has come back from an older copy. Answers of an earlier era are not reported any more.
type StoreEra struct {
	Era uint64
}

// StoreReachability reports whether the store responds.
type StoreReachability struct {
	Reachable bool
}

// ShardRecord is the stored record of a shard's owner.
type ShardRecord struct {
	Shard quota.Shard `json:"shard"`
	Owner string      `json:"owner"`
}

// StoreSnapshot is the complete content of the store.
type StoreSnapshot struct {
	Manifest *manifest.Compiled // nil if none is stored
	Members  []member.Member
	Shards   []ShardRecord
	Costs    []plan.RouteCost // see CostsStored
	// Departures holds those that earlier processes of this node have stored.
	Departures []Departure
}

// MembersStored reports the announcements in the store, as a starting node reads them.
type MembersStored struct {
	Members    []member.Member
	Departures []Departure // see StoreSnapshot
}

// CostsStored reports the call costs held by the store, as last written by the
// planner.
type CostsStored struct {
	Rows []plan.RouteCost
}

// ManifestStored reports that the store holds a manifest.
type ManifestStored struct {
	Manifest *manifest.Compiled
}

// ManifestRejected reports that the store holds a manifest that is not valid.
type ManifestRejected struct {
	Version uint64
	Detail  string
}

// ManifestDecoded is the result of decoding Effects.EncodedManifest.
type ManifestDecoded struct {
	Manifest *manifest.Compiled // nil if it could not be decoded
	Error    string             // why not
}

// ManifestConfirmed reports which version was the newest manifest in the store at a
// given time.
type ManifestConfirmed struct {
	Version uint64
	At      time.Time // taken before the store was queried
}

// AckID identifies a message of the local target that waits for an acknowledgement, 0 if none
// is wanted.
type AckID uint64

// HeartbeatReceived reports a heartbeat of the local target.
type HeartbeatReceived struct {
	Ack       AckID
	Heartbeat Heartbeat
}

// TargetDeregistered reports that the local target has ended its registration.
type TargetDeregistered struct {
	Ack        AckID
	InstanceID string
	At         time.Time // time of day at which it arrived, zero if unknown
}

// DeparturesSaved is the result of a SaveDepartures request that has been carried out.
type DeparturesSaved struct {
	Revision uint64 // of the request
}

// EvacuationsStored reports the evacuated domains in the store.
type EvacuationsStored struct {
	Set evacuation.Set
	At  time.Time // taken before the store was queried, zero if a watch reported a change
}

// MemberStored reports that the store holds a member's announcement.
type MemberStored struct {
	Member member.Member
}

// MemberDeleted reports that a member's announcement was removed from the store.
type MemberDeleted struct {
	Name string
}

// ShardStored reports that the store holds a shard's record.
type ShardStored struct {
	ShardRecord
}

// ShardDeleted reports that a shard's record was removed from the store.
type ShardDeleted struct {
	Shard quota.Shard
}

// ClaimDone is the result of a ClaimShard request.
type ClaimDone struct {
	Shard quota.Shard
	Held  bool // the record names this node, under its current lease
}

// MessageReceived reports a message from a peer.
type MessageReceived struct {
	From string // peer name
	Body Message
}

// PeerReachability reports whether a peer could be reached.
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
func (*StoreEra) event()           {}
func (*LeaseHeld) event()          {}
func (*LeaseLost) event()          {}
func (*StoreReachability) event()  {}
func (*StoreSnapshot) event()      {}
func (*MembersStored) event()      {}
func (*ManifestStored) event()     {}
func (*ManifestRejected) event()   {}
func (*ManifestDecoded) event()    {}
func (*ManifestConfirmed) event()  {}
func (*HeartbeatReceived) event()  {}
func (*TargetDeregistered) event() {}
func (*EvacuationsStored) event()  {}
func (*MemberStored) event()       {}
func (*MemberDeleted) event()      {}
func (*ShardStored) event()        {}
func (*ShardDeleted) event()       {}
func (*ClaimDone) event()          {}
func (*DeparturesSaved) event()    {}
func (*CostsStored) event()        {}
func (*MessageReceived) event()    {}
func (*PeerReachability) event()   {}
