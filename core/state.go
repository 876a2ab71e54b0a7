package core

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryshelf/core/admit"
	"celeryshelf/core/member"
	"celeryshelf/core/quota"
	"celeryshelf/core/retry"
	"celeryshelf/core/route"
)

// Settings describe the node whose state is kept.
type Settings struct {
	Self          member.Member
	SeedAddresses []netip.AddrPort // control addresses of nodes to join through
	RandomSeed    uint64           // starts the pseudo-random choices
	// TargetHeartbeats says that the local target announces itself. Until it has, it is
	// given no work.
	TargetHeartbeats bool
	// PlannedAdmission says that calls are held back at the entry by a plan for the fleet
	// instead of by the levels that come with answers.
	PlannedAdmission bool
	// ElectWatchers says that a few nodes follow the store's records of nodes and shards and
	// tell the others.
	ElectWatchers bool
	// RetryBound bounds further arrivals at each service over the whole fleet, where
	// Plans is set.
	RetryLimit retry.ServiceLimit
	// MaxStaleness is how long the keys of a manifest that cannot be confirmed are
	// trusted, 0 for the default. With it a lone node is no exception.
	MaxStaleness time.Duration
}

// State is everything that one node decides from.
type State struct {
	self          member.Member
	seedAddresses []netip.AddrPort
	random        *rand.Rand
	started       time.Time

	manifest           *manifestIndex
	calls              map[CallID]*call
	freeCalls          []*call
	gate               *admit.Gate
	routes             *route.Table
	levels             *route.Levels
	retryBudgets       *retry.BudgetPool
	dedup              *retry.DedupTable
	awaitingAcks       []*call          // calls that wait for a Recorded
	runningByRequestID map[string]*call // calls at the local target, by their sender's name
	retryLimiter       *retry.ServiceLimiter

	peers          member.Table
	peerClocks     map[string]clock
	storeReachable bool

	manifestConfirmedAt time.Time // the manifest in force was the newest at this instant
	maxStaleness        time.Duration
	startAnnounced      bool
	acceptUntil         time.Time // calls are let in until then, if the node is leaving
	targetOpenUntil     time.Time // the target gets calls until then, if the node is leaving
	plannedAdmission    bool
	target              targetState

	planning planning
	watch    watch

	shardOwner       *quota.Owner
	tokenPool        *quota.TokenPool
	storedOwners     map[quota.Shard]string // owner by the store's record
	advertisedOwners map[quota.Shard]string // owner by its own word, until the store reports one
	claimWaitSince   map[quota.Shard]time.Time

	due struct {
		sync, claim, sweep, verify, report time.Time
	}

	effects       Effects
	releasedCalls []uint64
}

// New returns the state of a node that has just started.
func New(set Settings) *State {
	return &State{
		self:               set.Self,
		seedAddresses:      set.SeedAddresses,
		random:             rand.New(rand.NewPCG(set.RandomSeed, 0)),
		calls:              map[CallID]*call{},
		runningByRequestID: map[string]*call{},
		retryLimiter:       retry.NewServiceLimiter(set.RetryLimit),
		gate:               admit.NewGate(),
		routes:             route.NewTable(set.Self.Name, set.Self.Domain),
		levels:             route.NewLevels(),
		retryBudgets:       retry.NewBudgetPool(),
		dedup:              retry.NewDedupTable(),
		peerClocks:         map[string]clock{},
		shardOwner:         quota.NewOwner(),
		tokenPool:          quota.NewTokenPool(),
		storedOwners:       map[quota.Shard]string{},
		advertisedOwners:   map[quota.Shard]string{},
		claimWaitSince:     map[quota.Shard]time.Time{},
		maxStaleness:       set.MaxStaleness,
		target:             targetState{announced: set.TargetHeartbeats},
		plannedAdmission:   set.PlannedAdmission,
		watch:              watch{elected: set.ElectWatchers, active: true},
	}
}

// Step takes in one event and returns what is to be done about it.
func (s *State) Step(now time.Time, e Event) *Effects {
	s.effects.reset()
	if s.started.IsZero() {
		s.start(now)
	}
	if s.plannedAdmission {
		s.accumulateLoad(now)
	}
	switch e := e.(type) {
	case *CallArrived:
		s.arrive(now, e)
	case *CallFinished:
		s.finish(now, e)
	case *AttemptFailed:
		s.fail(now, e)
	case *CallCanceled:
		s.cancel(now, e)
	case *Tick:
		s.tick(now)
	case *MessageReceived:
		s.handleMessage(now, e)
	case *PeerReachability:
		s.handlePeerReach(now, e)
	case *SettingsChanged:
		s.maxStaleness = e.Revoke
		s.retryLimiter.SetLimit(e.Retries)
	case *DrainRequested:
		s.startDrain(now, e)
	case *HeartbeatReceived:
		s.targetSeen(now, e.Heartbeat)
	case *TargetDeregistered:
		s.targetGone(now, e.InstanceID)
	default:
		s.handleStoreEvent(now, e)
	}
	return &s.effects
}

func (s *State) start(now time.Time) {
	s.started, s.manifestConfirmedAt = now, now
	if s.maxStaleness > 0 {
		s.manifestConfirmedAt = now.Add(-unconfirmedAge) // a manifest that comes from a peer may be old
	}
	s.self.TargetClosed = s.target.announced
	s.due.sync, s.due.claim, s.due.sweep = now, now.Add(claimInterval), now
	s.routes.Put(now, s.endpoint(s.self, false), false)
}

// endpoint returns a member as routing sees it.
func (s *State) endpoint(m member.Member, silent bool) route.Endpoint {
	return route.Endpoint{
		Name: m.Name, Service: m.Service, Domain: m.Domain, NodeAddr: m.NodeAddr,
		Local: m.Name == s.self.Name, Draining: m.TargetClosed, Unreachable: silent,
		Slots: m.Slots, TargetStartMilli: m.TargetStartMilli,
	}
}

// spreadBits returns a hash of a number, alike at all nodes.
func hashUint64(n uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	return xxhash.Sum64(b[:])
}

func (s *State) addNotice(n Notice) {
	s.effects.Notices = append(s.effects.Notices, n)
}

// Status is a snapshot of the node for its operators.
type Status struct {
	Self            member.Member
	Peers           []member.Peer
	Gate            admit.Stats
	Calls           int
	OwnedShards     int
	StoreReachable  bool
	ManifestVersion uint64
	// ManifestConfirmedAt is an instant at which the manifest in force was the newest.
	ManifestConfirmedAt time.Time
}

// Ready reports whether the node can let calls in.
func (s *State) Ready(now time.Time) bool {
	return s.manifest != nil && !s.self.Draining && !s.manifestStale(now)
}

// Status returns a snapshot of the node.
func (s *State) Status() Status {
	return Status{
		Self:            s.self,
		Peers:           append([]member.Peer(nil), s.peers.All()...),
		Gate:            s.gate.Stats(),
		Calls:           len(s.calls),
		OwnedShards:     s.shardOwner.ShardCount(),
		StoreReachable:  s.storeReachable,
		ManifestVersion: s.manifestVersion(),

		ManifestConfirmedAt: s.manifestConfirmedAt,
	}
}
