package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryshelf/core/member"
)

const (
	plannerHashPrefix = "planner/"
	watcherHashPrefix = "watcher/"
	// watchersPerDomain is the number of nodes of a domain that watch the store if
	// Settings.ElectWatchers is set, for stores that charge for every call. It is 2 so that
	// one of them may fail.
	watchersPerDomain = 2
	// ownersPerDomain is the least number of nodes of a domain that may own shards if
	// Settings.ElectWatchers is set, and ownerShare the share of its nodes. Only owners keep
	// a lease that has to be renewed every second or two.
	ownersPerDomain = 3
	ownerShare      = 0.2
)

// roles names the live nodes that have a duty for the fleet, as this node sees it. Nodes
// with the same view of the fleet agree on them.
type roles struct {
	membership uint64 // version of the member table that the roles were derived from
	draining   bool   // state of this node that they were derived from
	planners   []string
	domains    []string        // with live nodes, sorted
	watchers   []string        // live peers of the own domain that watch the store
	remote     []string        // those of the other domains
	ahead      int             // live peers of the own domain that rank higher as watchers
	owners     []member.Member // the nodes that may own shards
	mayOwn     bool            // this node is one of them
}

// currentRoles returns the roles, which are derived again after each change of the
// membership.
func (s *State) currentRoles() *roles {
	r := &s.roles
	if r.membership == s.peers.Version() && r.draining == s.self.Draining && r.domains != nil {
		return r
	}
	*r = roles{membership: s.peers.Version(), draining: s.self.Draining}
	live := make([]member.Member, 0, len(s.peers.All())+1)
	for _, p := range s.peers.All() {
		if p.Live() {
			live = append(live, p.Member)
		}
	}
	r.planners = topPlanners(live, s.self)
	live = append(live, s.self)
	byDomain := map[string][]member.Member{}
	for _, m := range live {
		byDomain[m.Domain] = append(byDomain[m.Domain], m)
	}
	for domain, members := range byDomain {
		r.domains = append(r.domains, domain)
		slices.SortFunc(members, func(a, b member.Member) int { return cmp.Compare(watcherRank(b.Name), watcherRank(a.Name)) })
		r.owners = append(r.owners, members[:s.ownerCount(len(members))]...)
		if domain != s.self.Domain {
			for _, m := range members[:min(watchersPerDomain, len(members))] {
				r.remote = append(r.remote, m.Name)
			}
		}
	}
	slices.Sort(r.domains)
	r.mayOwn = slices.ContainsFunc(r.owners, func(m member.Member) bool { return m.Name == s.self.Name })
	s.rankWatchers(r, byDomain[s.self.Domain])
	return r
}

// rankWatchers derives the watchers from the live nodes of the own domain, the highest
// rank first.
func (s *State) rankWatchers(r *roles, members []member.Member) {
	r.ahead = slices.IndexFunc(members, func(m member.Member) bool { return m.Name == s.self.Name })
	for _, m := range members {
		if m.Name != s.self.Name && len(r.watchers) < watchersPerDomain {
			r.watchers = append(r.watchers, m.Name)
		}
	}
}

// ownerCount returns how many of n live nodes of a domain may own shards.
func (s *State) ownerCount(n int) int {
	if !s.watch.electionEnabled {
		return n
	}
	return min(n, max(ownersPerDomain, int(ownerShare*float64(n)+0.5)))
}

// topPlanners returns the first two candidates for the planner: the live nodes with the
// highest hashes of their names.
func topPlanners(live []member.Member, self member.Member) []string {
	candidates := live
	if !self.Draining {
		candidates = append(slices.Clone(live), self)
	}
	names := make([]string, 0, len(candidates))
	for _, m := range candidates {
		names = append(names, m.Name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(plannerHashPrefix+b), xxhash.Sum64String(plannerHashPrefix+a))
	})
	return names[:min(2, len(names))]
}

// plannerName returns the name of the node that plans for the fleet: the live one with the
// highest hash of its name that is not skipped for having left reports unanswered.
func (s *State) plannerName(now time.Time) string {
	p := &s.planning
	for _, name := range s.currentRoles().planners {
		if name != p.unresponsivePlanner || !now.Before(p.skipPlannerUntil) {
			return name
		}
	}
	return s.self.Name
}

func watcherRank(name string) uint64 { return xxhash.Sum64String(watcherHashPrefix + name) }

// isWatcher reports whether this node is one of the watchers of its domain.
func (s *State) isWatcher() bool { return s.currentRoles().ahead < watchersPerDomain }

// randomWatcher returns the name of one of the peers that watch in this node's domain, or ""
// if there is none.
func (s *State) randomWatcher() string {
	list := s.currentRoles().watchers
	if len(list) == 0 {
		return ""
	}
	return list[s.random.IntN(len(list))]
}
