package core

import (
	"net/netip"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/core/member"
	"celeryshelf/core/plan"
	"celeryshelf/core/quota"
	"celeryshelf/core/retry"
)

// Message is what one node tells another about the control of the fleet.
type Message interface{ message() }

// Sync gossips announcements and the version of the manifest in force.
type Sync struct {
	Self    member.Member   `json:"self"`
	Uptime  time.Duration   `json:"clock"` // sender's time since its start
	Members []member.Member `json:"members,omitempty"`
}

// Confirmation answers a Sync with how old the sender's knowledge of the newest manifest
// is. It counts from the Sync, so that a proof read late proves no more than it did.
type Confirmation struct {
	RequesterUptime time.Duration `json:"clock"` // as in the Sync
	Version         uint64        `json:"version"`
	Age             time.Duration `json:"age"`
}

// Report tells the planner about one node.
type Report struct {
	Uptime time.Duration `json:"clock"` // sender's time since its start
	Report plan.Report   `json:"report"`
}

// Plan answers a Report with the calls that are held back.
type Plan struct {
	Confirmation   Confirmation      `json:"proof"` // as in answer to a Sync
	AdmittedShares []plan.AdmitRatio `json:"keeps,omitempty"`
}

// ManifestRequest asks for the manifest in force.
type ManifestRequest struct{}

// ManifestResponse carries the manifest in force.
type ManifestResponse struct {
	Manifest manifest.Versioned `json:"manifest"`
}

// ShardUpdate tells what has become of shards: owners tell of those that they hold, ahead of
// the store, and nodes that watch the store of those that nobody holds.
type ShardUpdate struct {
	Held   []ShardRecord `json:"held,omitempty"`
	Vacant []quota.Shard `json:"vacant,omitempty"`
}

// ShardQuery asks a node that watches the store who holds a shard. It answers with News.
type ShardQuery struct {
	Shard quota.Shard `json:"shard"`
}

// TokenRequest asks a shard's owner for tokens.
type TokenBatchRequest struct {
	Request quota.BatchRequest `json:"ask"`
}

// TokenGrant answers a TokenAsk.
type TokenGrant struct {
	Request quota.BatchRequest `json:"ask"`
	Grant   quota.Grant        `json:"grant"`
	Uptime  time.Duration      `json:"clock"` // owner's time since its start
}

// ClockRequest asks a peer for its clock, so that the owner of a shard can grant tokens to
// its own node in the knowledge that its own clock has not stood still.
type ClockRequest struct {
	Request quota.BatchRequest `json:"ask"`
}

// ClockResponse answers an Echo.
type ClockResponse struct {
	Request quota.BatchRequest `json:"ask"`
	Uptime  time.Duration      `json:"clock"` // sender's time since its start
}

// IdempotencyRecord asks a peer to keep a copy of the fact that a call may run.
type IdempotencyRecord struct {
	Call        CallID               `json:"call"`
	Identity    retry.IdempotencyKey `json:"identity"`
	Incarnation uint64               `json:"inc"` // of the sender, which is the identity's home
}

// Handover gives a leaving node's records to the nodes that answer for them next.
type Handover struct {
	Identities []retry.IdempotencyKey `json:"identities"`
}

// IdempotencyRecordAck answers a Record with what the peer knew before.
type IdempotencyRecordAck struct {
	Call  CallID `json:"call"`
	Known bool   `json:"known"` // the peer had heard of the identity already
}

func (*Sync) message()                 {}
func (*Confirmation) message()         {}
func (*Report) message()               {}
func (*Plan) message()                 {}
func (*ManifestRequest) message()      {}
func (*ManifestResponse) message()     {}
func (*ShardUpdate) message()          {}
func (*ShardQuery) message()           {}
func (*TokenBatchRequest) message()    {}
func (*TokenGrant) message()           {}
func (*ClockRequest) message()         {}
func (*ClockResponse) message()        {}
func (*IdempotencyRecord) message()    {}
func (*IdempotencyRecordAck) message() {}
func (*Handover) message()             {}

// Envelope is a message with its receiver.
type Envelope struct {
	To      string // name of the peer, empty for a seed address
	Address netip.AddrPort
	Body    Message
}
