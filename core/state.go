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
	RetryBound retry.ServiceLimit
	// MaxStaleness is how long the keys of a manifest that cannot be confirmed are
	// trusted, 0 for the default. With it a lone node is no exception.
	MaxStaleness time.Duration
}

// State is everything that one node decides from.
type State struct {
	self    member.Member
	seeds   []netip.AddrPort
	random  *rand.Rand
	started time.Time

	config    *config
	calls     map[CallID]*call
	free      []*call
	gate      *admit.Gate
	routes    *route.Table
	levels    *route.Levels
	ratio     *retry.BudgetPool
	ledger    *retry.DedupTable
	records   []*call          // calls that wait for a Recorded
	named     map[string]*call // calls at the local target, by their sender's name
	allowance *retry.ServiceLimiter

	peers  member.Table
	clocks map[string]clock
	store  bool

	asOf    time.Time // the manifest in force was the newest at this instant
	revoke  time.Duration
	greeted bool
	shut    time.Time // calls are let in until then, if the node is leaving
	closing time.Time // the target gets calls until then, if the node is leaving
	plans   bool
	target  targetState

	planning planning
	watch    watch

	owner  *quota.Owner
	holder *quota.TokenPool
	shards map[quota.Shard]string // owner by the store's record
	hints  map[quota.Shard]string // owner by its own word, until the store reports one
	claims map[quota.Shard]time.Time

	due struct {
		sync, claim, sweep, verify, report time.Time
	}

	effects  Effects
	released []uint64
}

// New returns the state of a node that has just started.
func New(set Settings) *State {
	return &State{
		self:      set.Self,
		seeds:     set.SeedAddresses,
		random:    rand.New(rand.NewPCG(set.RandomSeed, 0)),
		calls:     map[CallID]*call{},
		named:     map[string]*call{},
		allowance: retry.NewServiceLimiter(set.RetryBound),
		gate:      admit.NewGate(),
		routes:    route.NewTable(set.Self.Name, set.Self.Domain),
		levels:    route.NewLevels(),
		ratio:     retry.NewBudgetPool(),
		ledger:    retry.NewDedupTable(),
		clocks:    map[string]clock{},
		owner:     quota.NewOwner(),
		holder:    quota.NewTokenPool(),
		shards:    map[quota.Shard]string{},
		hints:     map[quota.Shard]string{},
		claims:    map[quota.Shard]time.Time{},
		revoke:    set.MaxStaleness,
		target:    targetState{announced: set.TargetHeartbeats},
		plans:     set.PlannedAdmission,
		watch:     watch{shared: set.ElectWatchers, on: true},
	}
}

// Step takes in one event and returns what is to be done about it.
func (s *State) Step(now time.Time, e Event) *Effects {
	s.effects.reset()
	if s.started.IsZero() {
		s.start(now)
	}
	if s.plans {
		s.gauge(now)
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
		s.receive(now, e)
	case *PeerReachability:
		s.reach(now, e)
	case *SettingsChanged:
		s.revoke = e.Revoke
		s.allowance.SetLimit(e.Retries)
	case *DrainRequested:
		s.drain(now, e)
	case *HeartbeatReceived:
		s.targetSeen(now, e.Heartbeat)
	case *TargetDeregistered:
		s.targetGone(now, e.InstanceID)
	default:
		s.fromStore(now, e)
	}
	return &s.effects
}

func (s *State) start(now time.Time) {
	s.started, s.asOf = now, now
	if s.revoke > 0 {
		s.asOf = now.Add(-longAgo) // a manifest that comes from a peer may be old
	}
	s.self.TargetClosed = s.target.announced
	s.due.sync, s.due.claim, s.due.sweep = now, now.Add(claimEvery), now
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
func spreadBits(n uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	return xxhash.Sum64(b[:])
}

func (s *State) notice(n Notice) {
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
	return s.config != nil && !s.self.Draining && !s.isolated(now)
}

// Status returns a snapshot of the node.
func (s *State) Status() Status {
	return Status{
		Self:            s.self,
		Peers:           append([]member.Peer(nil), s.peers.All()...),
		Gate:            s.gate.Stats(),
		Calls:           len(s.calls),
		OwnedShards:     s.owner.ShardCount(),
		StoreReachable:  s.store,
		ManifestVersion: s.version(),

		ManifestConfirmedAt: s.asOf,
	}
}
