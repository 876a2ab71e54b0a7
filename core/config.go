package core

import (
	"time"

	"github.com/cespare/xxhash/v2"

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
}

func newConfig(v manifest.Versioned) *config {
	c := &config{
		source:     v,
		digests:    map[manifest.Digest]*manifest.Workspace{},
		workspaces: map[string]*manifest.Workspace{},
		routes:     map[string]*manifest.Route{},
		meanRate:   1,
		salt:       xxhash.Sum64String(v.ID),
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
	return c
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
	if len(v.Manifest.Check()) > 0 {
		s.notice(Notice{Kind: ManifestRefused, Version: v.Version})
		return
	}
	s.config = newConfig(v)
	s.declare(now)
	s.self.Version = v.Version
	s.effects.InForce = &s.config.source
	s.notice(Notice{Kind: ManifestInForce, Version: v.Version})
	s.announce()
	s.spread(now, spreadFanout)
}

// declare carries the manifest's allowances to the quota's parts.
func (s *State) declare(now time.Time) {
	for _, w := range s.config.workspaces {
		s.holder.Declare(w.Name, allowance(w))
	}
	gone := s.holder.Keep(func(name string) bool { return s.config.workspaces[name] != nil })
	for _, id := range gone {
		if c, ok := s.calls[CallID(id)]; ok {
			s.refuse(now, c, UnknownKey)
		}
	}
	for _, shard := range s.owner.Shards() {
		if !s.declared(shard) {
			s.yield(shard)
			continue
		}
		s.owner.Adjust(now, shard, allowance(s.config.workspaces[shard.Workspace]))
	}
}
