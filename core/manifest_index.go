package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryshelf/core/admit"
	"celeryshelf/core/manifest"
	"celeryshelf/core/quota"
)

// config is the manifest in force, indexed for decisions.
type config struct {
	source     manifest.Versioned
	digests    map[manifest.Digest]*manifest.Workspace
	workspaces map[string]*manifest.Workspace
	routes     map[string]*manifest.Route
	meanRate   float64 // weight of calls without a workspace
	salt       uint64  // alike at all nodes, and not for callers to know
	classes    map[urgency]uint8
	top        uint8 // the highest of them
}

// urgency orders calls by the workspace's priority, then by the route's.
type urgency struct {
	workspace, route int // 0 the highest
}

func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.workspace, o.workspace), cmp.Compare(u.route, o.route))
}

func urgencyOf(w *manifest.Workspace, r *manifest.Route) urgency {
	u := urgency{route: 1}
	switch {
	case r.Priority != nil:
		u.route = *r.Priority
	case r.Important:
		u.route = 0
	}
	if w != nil && w.Priority != nil {
		u.workspace = *w.Priority
	}
	return u
}

// rank numbers the urgencies that the manifest gives rise to, the lowest first.
func (c *config) rank() {
	c.classes = map[urgency]uint8{{route: 0}: 0, {route: 1}: 0}
	m := &c.source.Manifest
	for i := range m.Routes {
		c.classes[urgencyOf(nil, &m.Routes[i])] = 0
		for j := range m.Workspaces {
			c.classes[urgencyOf(&m.Workspaces[j], &m.Routes[i])] = 0
		}
	}
	order := slices.SortedFunc(maps.Keys(c.classes), func(a, b urgency) int { return b.compare(a) })
	for i, u := range order {
		c.classes[u] = uint8(i * min(admit.Classes, len(order)) / len(order))
		c.top = c.classes[u]
	}
}

// class returns the class of a workspace's calls on a route.
func (c *config) class(workspace string, r *manifest.Route) uint8 {
	return c.classes[urgencyOf(c.workspaces[workspace], r)]
}

func newConfig(v manifest.Versioned) *config {
	c := &config{
		source:     v,
		digests:    map[manifest.Digest]*manifest.Workspace{},
		workspaces: map[string]*manifest.Workspace{},
		routes:     map[string]*manifest.Route{},
		meanRate:   1,
		salt:       xxhash.Sum64String(v.ApplyID),
	}
	m := &c.source.Manifest
	sum := 0.0
	for i := range m.Workspaces {
		w := &m.Workspaces[i]
		c.workspaces[w.Name] = w
		sum += w.Rate
		for _, k := range w.Keys {
			c.digests[k.Digest] = w
		}
	}
	if len(m.Workspaces) > 0 {
		c.meanRate = sum / float64(len(m.Workspaces))
	}
	for i := range m.Routes {
		c.routes[m.Routes[i].Name] = &m.Routes[i]
	}
	c.rank()
	return c
}

// limited returns the workspace of that name if it has a rate to be held to.
func (c *config) limited(name string) *manifest.Workspace {
	if w := c.workspaces[name]; w != nil && w.Rate > 0 {
		return w
	}
	return nil
}

func allowance(w *manifest.Workspace) quota.Allowance {
	return quota.Allowance{Rate: w.Rate, Burst: w.Burst}
}

func (s *State) version() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.source.Version
}

// weight returns the share weight of a workspace's calls.
func (s *State) weight(workspace string) float64 {
	if s.config == nil {
		return 1
	}
	if w, ok := s.config.workspaces[workspace]; ok {
		return w.Rate
	}
	return s.config.meanRate
}

// adopt puts a manifest in force if it is newer than the present one.
func (s *State) adopt(now time.Time, v manifest.Versioned) {
	if v.Version <= s.version() {
		return
	}
	if len(v.Manifest.Validate()) > 0 {
		s.notice(Notice{Kind: NoticeManifestRejected, Version: v.Version})
		return
	}
	s.config = newConfig(v)
	s.declare(now)
	s.self.ManifestVersion = v.Version
	s.effects.NewManifest = &s.config.source
	s.notice(Notice{Kind: NoticeManifestActive, Version: v.Version})
	s.self.Revision++ // peers hear of the version, which the store need not hold
	s.spread(now, spreadFanout)
}

// declare carries the manifest's allowances to the quota's parts.
func (s *State) declare(now time.Time) {
	for _, w := range s.config.workspaces {
		if s.config.limited(w.Name) != nil {
			s.holder.SetAllowance(w.Name, allowance(w))
		}
	}
	gone := s.holder.RemoveUndeclared(func(name string) bool { return s.config.limited(name) != nil })
	for _, id := range gone {
		c, ok := s.calls[CallID(id)]
		switch {
		case !ok:
		case s.config.workspaces[c.workspace] == nil:
			s.refuse(now, c, ReasonUnknownKey)
		default:
			s.dispatch(now, c, "") // its limit has been lifted
		}
	}
	for _, shard := range s.owner.Shards() {
		if !s.declared(shard) {
			s.yield(shard)
			continue
		}
		s.owner.UpdateAllowance(now, shard, allowance(s.config.workspaces[shard.Workspace]))
	}
}
