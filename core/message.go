package core

import (
	"net/netip"
	"time"

	"celeryshelf/core/evacuation"
	"celeryshelf/core/manifest"
	"celeryshelf/core/member"
	"celeryshelf/core/plan"
	"celeryshelf/core/quota"
	"celeryshelf/core/retry"
)

// Message is a control message between nodes.
type Message interface{ message() }

// Sync is a gossip message: it carries member announcements, and in Self the version of the
// sender's manifest.
type Sync struct {
	Self    member.Member   `json:"self"`
	Uptime  time.Duration   `json:"clock"` // time since the sender's process started
	Members []member.Member `json:"members,omitempty"`
	// Evacuations is left out if the sender knows of none. Its Age is of no use in a Sync.
	Evacuations *Evacuations `json:"evac,omitempty"`
}

// Evacuations carries the evacuated domains, and for how long the sender has not known that
// they are the newest in the store.
type Evacuations struct {
	evacuation.Set
	Age time.Duration `json:"age"` // see Confirmation.Age
}

// Confirmation answers a Sync and is part of the answer to a Report. It states that
// Version was the newest manifest at the time Age before the request was sent. As Age counts
// from the request, a Confirmation that is read late does not make the manifest look more
// recently confirmed than it is.
type Confirmation struct {
	RequesterUptime time.Duration `json:"clock"` // Uptime of the Sync or Report that is answered
	Version         uint64        `json:"version"`
	Age             time.Duration `json:"age"`
	Evacuations     *Evacuations  `json:"evac,omitempty"` // left out if the sender knows of none
	StoreEra        uint64        `json:"era,omitempty"`  // latest that the sender knows, see StoreEra
	// LeftStartMilli is the start of the latest target of the receiver's node that has announced
	// that it leaves, as the sender remembers it from an earlier process of that node. It is left
	// out if the receiver has announced that, or a later target. In milliseconds since 1970.
	LeftStartMilli int64 `json:"left,omitempty"`
}

// Report carries one node's demand, load and call costs to the planner.
type Report struct {
	Uptime time.Duration `json:"clock"` // time since the sender's process started
	Report plan.Report   `json:"report"`
}

// Plan answers a Report with the ratio of calls to admit for each route and class that the
// plan limits.
type Plan struct {
	Confirmation Confirmation      `json:"proof"`
	AdmitRatios  []plan.AdmitRatio `json:"keeps,omitempty"`
	// Declining lists the services whose targets decline calls.
	Declining []plan.DeclinedRatio `json:"declining,omitempty"`
}

// ManifestRequest asks for the peer's active manifest, or for the chunk of a version that starts
// at an offset. If the peer no longer has that version, the answer is the first chunk of its
// active one. A request for the end of the encoding tells the peer that all of it has arrived. A
// Confirmation follows then, or at once if there is only one chunk.
type ManifestRequest struct {
	Uptime  time.Duration `json:"clock,omitempty"`   // time since the sender's process started
	Chunks  bool          `json:"chunks,omitempty"`  // the sender understands ManifestChunk and ManifestBusy
	Version uint64        `json:"version,omitempty"` // 0 for the active one
	Offset  int           `json:"offset,omitempty"`  // in bytes
}

// ManifestChunk answers a ManifestRequest with a part of the encoding of a manifest.
type ManifestChunk struct {
	Version  uint64 `json:"version"`
	Size     int    `json:"size"` // of the whole encoding, in bytes
	Checksum uint64 `json:"sum"`  // of the whole encoding, see manifest.Compiled
	Offset   int    `json:"offset"`
	Data     []byte `json:"data"`
}

// ManifestBusy answers a ManifestRequest if the peer has no manifest, or no room for another
// transfer.
type ManifestBusy struct{}

// ManifestResponse answers a ManifestRequest of a node that does not understand chunks, or of an
// earlier version of this program. Only a manifest that fits into one chunk is sent in it.
type ManifestResponse struct {
	Manifest manifest.Versioned `json:"manifest"`
}

// ShardUpdate tells peers of changes in shard ownership: owners report shards that they
// have acquired, before the store's watch does, and nodes that watch the store report
// shards that no longer have an owner.
type ShardUpdate struct {
	Held   []ShardRecord `json:"held,omitempty"`
	Vacant []quota.Shard `json:"vacant,omitempty"`
}

// ShardQuery asks a node that watches the store for a shard's owner. The answer is a
// ShardUpdate.
type ShardQuery struct {
	Shard quota.Shard `json:"shard"`
}

// TokenBatchRequest asks a shard's owner for tokens.
type TokenBatchRequest struct {
	Request quota.BatchRequest `json:"ask"`
}

// TokenGrant answers a TokenBatchRequest.
type TokenGrant struct {
	Request quota.BatchRequest `json:"ask"`
	Grant   quota.Grant        `json:"grant"`
	Uptime  time.Duration      `json:"clock"` // time since the owner's process started
}

// ClockRequest asks a peer for its uptime. A shard's owner sends it before it grants tokens
// to its own node: the answer shows whether the owner's clock was stopped, in which case its
// lease may have expired.
type ClockRequest struct {
	Request quota.BatchRequest `json:"ask"`
}

// ClockResponse answers a ClockRequest.
type ClockResponse struct {
	Request quota.BatchRequest `json:"ask"`
	Uptime  time.Duration      `json:"clock"` // time since the sender's process started
}

// IdempotencyRecord asks a peer to store a copy of the record of a call with an
// Idempotency-Key, before the call runs.
type IdempotencyRecord struct {
	Call        CallID               `json:"call"`
	Key         retry.IdempotencyKey `json:"identity"`
	Incarnation uint64               `json:"inc"` // of the sender, which coordinates calls with this key
}

// Handover passes the idempotency records of a draining node to the nodes that take over
// their keys.
type Handover struct {
	Keys []retry.IdempotencyKey `json:"identities"`
}

// IdempotencyRecordAck answers an IdempotencyRecord.
type IdempotencyRecordAck struct {
	Call  CallID `json:"call"`
	Known bool   `json:"known"` // the peer already had a record of the key
}

func (*Sync) message()                 {}
func (*Confirmation) message()         {}
func (*Report) message()               {}
func (*Plan) message()                 {}
func (*ManifestRequest) message()      {}
func (*ManifestResponse) message()     {}
func (*ManifestChunk) message()        {}
func (*ManifestBusy) message()         {}
func (*ShardUpdate) message()          {}
func (*ShardQuery) message()           {}
func (*TokenBatchRequest) message()    {}
func (*TokenGrant) message()           {}
func (*ClockRequest) message()         {}
func (*ClockResponse) message()        {}
func (*IdempotencyRecord) message()    {}
func (*IdempotencyRecordAck) message() {}
func (*Handover) message()             {}

// Envelope is a message with its destination.
type Envelope struct {
	To      string // name of the peer, empty if only a seed address is known
	Address netip.AddrPort
	Body    Message
}
