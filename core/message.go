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
	Clock   time.Duration   `json:"clock"` // sender's time since its start
	Members []member.Member `json:"members,omitempty"`
}

// Proof answers a Sync with how old the sender's knowledge of the newest manifest
// is. It counts from the Sync, so that a proof read late proves no more than it did.
type Proof struct {
	Clock   time.Duration `json:"clock"` // as in the Sync
	Version uint64        `json:"version"`
	Age     time.Duration `json:"age"`
}

// Report tells the planner about one node.
type Report struct {
	Clock  time.Duration `json:"clock"` // sender's time since its start
	Report plan.Report   `json:"report"`
}

// Plan answers a Report with the calls that are held back.
type Plan struct {
	Proof Proof             `json:"proof"` // as in answer to a Sync
	Keeps []plan.AdmitRatio `json:"keeps,omitempty"`
}

// Fetch asks for the manifest in force.
type Fetch struct{}

// Config carries the manifest in force.
type Config struct {
	Manifest manifest.Versioned `json:"manifest"`
}

// News tells what has become of shards: owners tell of those that they hold, ahead of
// the store, and nodes that watch the store of those that nobody holds.
type News struct {
	Held   []ShardRecord `json:"held,omitempty"`
	Vacant []quota.Shard `json:"vacant,omitempty"`
}

// Look asks a node that watches the store who holds a shard. It answers with News.
type Look struct {
	Shard quota.Shard `json:"shard"`
}

// TokenAsk asks a shard's owner for tokens.
type TokenAsk struct {
	Ask quota.Ask `json:"ask"`
}

// TokenGrant answers a TokenAsk.
type TokenGrant struct {
	Ask   quota.Ask     `json:"ask"`
	Grant quota.Grant   `json:"grant"`
	Clock time.Duration `json:"clock"` // owner's time since its start
}

// Echo asks a peer for its clock, so that the owner of a shard can grant tokens to
// its own node in the knowledge that its own clock has not stood still.
type Echo struct {
	Ask quota.Ask `json:"ask"`
}

// Echoed answers an Echo.
type Echoed struct {
	Ask   quota.Ask     `json:"ask"`
	Clock time.Duration `json:"clock"` // sender's time since its start
}

// Record asks a peer to keep a copy of the fact that a call may run.
type Record struct {
	Call        CallID         `json:"call"`
	Identity    retry.Identity `json:"identity"`
	Incarnation uint64         `json:"inc"` // of the sender, which is the identity's home
}

// Handover gives a leaving node's records to the nodes that answer for them next.
type Handover struct {
	Identities []retry.Identity `json:"identities"`
}

// Recorded answers a Record with what the peer knew before.
type Recorded struct {
	Call  CallID `json:"call"`
	Known bool   `json:"known"` // the peer had heard of the identity already
}

func (*Sync) message()       {}
func (*Proof) message()      {}
func (*Report) message()     {}
func (*Plan) message()       {}
func (*Fetch) message()      {}
func (*Config) message()     {}
func (*News) message()       {}
func (*Look) message()       {}
func (*TokenAsk) message()   {}
func (*TokenGrant) message() {}
func (*Echo) message()       {}
func (*Echoed) message()     {}
func (*Record) message()     {}
func (*Recorded) message()   {}
func (*Handover) message()   {}

// Envelope is a message with its receiver.
type Envelope struct {
	To      string // name of the peer, empty for a seed address
	Address netip.AddrPort
	Body    Message
}
