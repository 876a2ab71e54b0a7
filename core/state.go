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
	"celeryshelf/core/warmup"
)

// Settings configures a State.
type Settings struct {
	Self          member.Member
	SeedAddresses []netip.AddrPort // control addresses of the nodes contacted to join the fleet
	RandomSeed    uint64           // seeds the pseudo-random generator
	// TargetHeartbeats is set if the local target sends heartbeats. It then gets no calls
	// before its first heartbeat.
	TargetHeartbeats bool
	// PlannedAdmission selects how overload is handled: calls are refused where they
	// enter the fleet, by a plan computed for the whole fleet, instead of by the load
	// shedding levels that responses carry.
	PlannedAdmission bool
	// ElectWatchers limits the watch of the store to a few nodes per domain, which pass
	// manifests and changes on to the others, and the ownership of shards to some nodes.
	ElectWatchers bool
	// RetryLimit bounds the retries that reach each service, summed over the whole fleet.
	// It applies if PlannedAdmission is set.
	RetryLimit retry.ServiceLimit
	// MaxStaleness is how long API keys are accepted after the manifest was last confirmed
	// to be the newest version. If it is 0, defaultMaxStaleness applies, but only while the
	// store is unreachable and the node has peers.
	MaxStaleness time.Duration
	// Evacuation is the time after which no call may reach the targets of an evacuated domain,
	// 0 if domains cannot be evacuated.
	Evacuation time.Duration
	// PlaceByCompletion makes calls go to the endpoint at which they are expected to complete
	// first, where targets report their load. Otherwise latency and load decide.
	PlaceByCompletion bool
	// WarmupBound bounds the calls that the local target receives while it is cold. The zero
	// value sets no bound.
	WarmupBound warmup.Bound
}

// State holds everything that the decisions of one node depend on.
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
	awaitingAcks       []*call          // calls that wait for an IdempotencyRecordAck
	runningByRequestID map[string]*call // calls at the local target, by the sender's request ID
	retryLimiter       *retry.ServiceLimiter

	peers member.Table
	// rejectedMembers holds the last rejected announcement of each name.
	rejectedMembers map[string]member.Member
	peerClocks      map[string]peerClock
	storeReachable  bool
	storeEra        storeEra

	confirmationHeardAt time.Time // when a peer last sent a Confirmation
	manifestActiveSince time.Time // when the active manifest became active
	manifestConfirmedAt time.Time // last time at which the active manifest was known to be the newest
	maxStaleness        time.Duration
	startAnnounced      bool
	acceptUntil         time.Time // end of accepting calls from callers while draining, zero if unlimited
	targetOpenUntil     time.Time // end of sending calls to the local target while draining
	drainEnd            time.Time // end of all calls while draining, zero if unlimited
	plannedAdmission    bool
	target              targetState
	warmup              warmupState

	planning     planning
	placement    placement
	declines     declines
	watch        watch
	roles        roles
	distribution distribution
	evacuation   evacuationState

	shardOwner       *quota.Owner
	tokenPool        *quota.TokenPool
	storedOwners     map[quota.Shard]string    // by the store's records or, on a node that does not watch the store, by ShardUpdates
	advertisedOwners map[quota.Shard]string    // as told by the owners, used for shards without a store record
	claimWaitSince   map[quota.Shard]time.Time // when the shard was found vacant or last claimed

	// due holds when each periodic task runs next.
	due struct {
		sync, claim, sweep, verify, freshen, report time.Time
	}

	effects       Effects
	releasedCalls []uint64
}

// New returns the initial state of a node.
func New(settings Settings) *State {
	s := &State{
		self:               settings.Self,
		seedAddresses:      settings.SeedAddresses,
		random:             rand.New(rand.NewPCG(settings.RandomSeed, 0)),
		calls:              map[CallID]*call{},
		runningByRequestID: map[string]*call{},
		retryLimiter:       retry.NewServiceLimiter(settings.RetryLimit),
		gate:               admit.NewGate(),
		routes:             route.NewTable(settings.Self.Name, settings.Self.Domain),
		levels:             route.NewLevels(),
		placement:          newPlacement(settings.PlaceByCompletion),
		retryBudgets:       retry.NewBudgetPool(),
		dedup:              retry.NewDedupTable(),
		peerClocks:         map[string]peerClock{},
		shardOwner:         quota.NewOwner(),
		tokenPool:          quota.NewTokenPool(),
		storedOwners:       map[quota.Shard]string{},
		advertisedOwners:   map[quota.Shard]string{},
		claimWaitSince:     map[quota.Shard]time.Time{},
		maxStaleness:       settings.MaxStaleness,
		target:             targetState{heartbeatsExpected: settings.TargetHeartbeats, evacuationsUnknown: settings.Evacuation > 0},
		evacuation:         evacuationState{bound: settings.Evacuation},
		plannedAdmission:   settings.PlannedAdmission,
		watch:              watch{electionEnabled: settings.ElectWatchers, active: !settings.ElectWatchers},
	}
	s.warmup.target.SetBound(settings.WarmupBound)
	return s
}

// Step applies one event to the state and returns the resulting effects, which are valid
// until the next call.
func (s *State) Step(now time.Time, e Event) *Effects {
	s.effects.reset()
	if s.started.IsZero() {
		s.start(now)
	}
	if s.plannedAdmission {
		s.accumulateLoad(now)
	}
	s.updateWarmup(now)
	switch e := e.(type) {
	case *CallArrived:
		s.handleCallArrived(now, e)
	case *CallFinished:
		s.handleCallFinished(now, e)
	case *AttemptFailed:
		s.handleAttemptFailed(now, e)
	case *CallCanceled:
		s.handleCallCanceled(now, e)
	case *Tick:
		s.tick(now)
	case *MessageReceived:
		s.handleMessage(now, e)
	case *PeerReachability:
		s.handlePeerReachability(now, e)
	case *SettingsChanged:
		s.maxStaleness = e.MaxStaleness
		s.retryLimiter.SetLimit(e.RetryLimit)
		s.setWarmupBound(now, e.WarmupBound)
	case *DrainRequested:
		s.startDrain(now, e)
	case *ManifestDecoded:
		s.handleManifestDecoded(now, e)
	case *HeartbeatReceived:
		s.handleHeartbeat(now, e)
	case *TargetDeregistered:
		s.handleTargetDeregistered(now, e)
	default:
		s.handleStoreEvent(now, e)
	}
	if s.placement.changed {
		s.publishWork(now)
	}
	return &s.effects
}

func (s *State) start(now time.Time) {
	s.started, s.manifestConfirmedAt = now, now
	if s.maxStaleness > 0 {
		s.manifestConfirmedAt = now.Add(-unconfirmedAge) // a manifest received from a peer may be outdated
	}
	s.self.TargetClosed = !s.target.available()
	s.due.sync, s.due.claim, s.due.sweep = now, now.Add(claimInterval), now
	s.routes.Put(now, s.endpoint(s.self, false), false)
}

// endpoint converts a member to the routing table's representation.
func (s *State) endpoint(m member.Member, unreachable bool) route.Endpoint {
	profile := s.serviceProfile(m.Service)
	return route.Endpoint{
		Name: m.Name, Service: m.Service, Domain: m.Domain, NodeAddr: m.NodeAddr,
		Local: m.Name == s.self.Name, Draining: m.TargetClosed || s.evacuated(m.Domain), Unreachable: unreachable,
		Slots: m.Slots, TargetStartMilli: m.TargetStartMilli,
		Revision: m.Revision, ColdFor: m.ColdFor, ColdRate: profile.Rate, RampDuration: profile.Duration,
	}
}

// hashUint64 returns a hash of n that is the same on all nodes.
func hashUint64(n uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	return xxhash.Sum64(b[:])
}

// randomFraction returns a number from 0 up to 1 that is derived from a call's ID.
func randomFraction(id CallID) float64 { return float64(hashUint64(uint64(id))>>11) / (1 << 53) }

func (s *State) addNotice(n Notice) {
	s.effects.Notices = append(s.effects.Notices, n)
}

// Status is a snapshot of the node for operators.
type Status struct {
	Self            member.Member
	Peers           []member.Peer
	Gate            admit.Stats
	Calls           int
	DeclinedRatio   float64 // of the arrivals at the node's service, by the current plan; 0 if chance explains it
	OwnedShards     int
	StoreReachable  bool
	ManifestVersion uint64
	Work            route.Work // published of the local target, see Effects
	Slowness        float64    // of the local target, 1 if unknown
	// ManifestConfirmedAt is the last time at which the active manifest was known to be
	// the newest version.
	ManifestConfirmedAt time.Time
	Evacuations         EvacuationStatus
	// ColdUntil is the end of the local target's last cold period, zero if there was none.
	ColdUntil time.Time
}

// Ready reports whether the node accepts calls: it has a manifest that is not stale and is
// not draining.
func (s *State) Ready(now time.Time) bool {
	return s.manifest != nil && !s.self.Draining && !s.manifestStale(now)
}

// Status returns a snapshot of the node for operators.
func (s *State) Status() Status {
	return Status{
		Self:            s.self,
		Peers:           append([]member.Peer(nil), s.peers.All()...),
		Gate:            s.gate.Stats(),
		Calls:           len(s.calls),
		DeclinedRatio:   s.declines.ratios[s.self.Service],
		OwnedShards:     s.shardOwner.ShardCount(),
		StoreReachable:  s.storeReachable,
		ManifestVersion: s.manifestVersion(),
		Work:            s.effects.Work,
		Slowness:        s.placement.slowness.Last(),

		ManifestConfirmedAt: s.manifestConfirmedAt,
		Evacuations:         s.evacuationStatus(),
		ColdUntil:           s.warmup.target.End(),
	}
}
