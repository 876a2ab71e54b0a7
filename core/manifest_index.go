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

// manifestIndex is the active manifest with lookup tables for decisions on calls.
type manifestIndex struct {
	source     *manifest.Compiled
	workspaces map[string]*manifest.Workspace
	routes     map[string]*manifest.Route
	meanRate   float64 // of all workspaces; the weight of calls without a workspace
	salt       uint64  // the same on all nodes and unknown to callers, who could otherwise choose IDs that rank high
	classes    map[callPriority]uint8
	topClass   uint8 // highest value in classes
}

// callPriority orders calls by the workspace's priority, then by the route's.
type callPriority struct {
	workspace, route int // 0 is the highest priority
}

func (p callPriority) compare(o callPriority) int {
	return cmp.Or(cmp.Compare(p.workspace, o.workspace), cmp.Compare(p.route, o.route))
}

func priorityOf(w *manifest.Workspace, r *manifest.Route) callPriority {
	p := callPriority{route: 1}
	switch {
	case r.Priority != nil:
		p.route = *r.Priority
	case r.Important:
		p.route = 0
	}
	if w != nil && w.Priority != nil {
		p.workspace = *w.Priority
	}
	return p
}

// assignClasses maps the priorities that occur under the manifest to classes, the lowest
// priority to class 0. If there are more than admit.Classes, neighbors share a class.
func (idx *manifestIndex) assignClasses() {
	idx.classes = map[callPriority]uint8{{route: 0}: 0, {route: 1}: 0}
	m := &idx.source.Manifest
	for i := range m.Routes {
		idx.classes[priorityOf(nil, &m.Routes[i])] = 0
		for j := range m.Workspaces {
			idx.classes[priorityOf(&m.Workspaces[j], &m.Routes[i])] = 0
		}
	}
	order := slices.SortedFunc(maps.Keys(idx.classes), func(a, b callPriority) int { return b.compare(a) })
	for i, p := range order {
		idx.classes[p] = uint8(i * min(admit.Classes, len(order)) / len(order))
		idx.topClass = idx.classes[p]
	}
}

// class returns the admission class of a workspace's calls on a route.
func (idx *manifestIndex) class(workspace string, r *manifest.Route) uint8 {
	return idx.classes[priorityOf(idx.workspaces[workspace], r)]
}

func newManifestIndex(v *manifest.Compiled) *manifestIndex {
	idx := &manifestIndex{
		source:     v,
		workspaces: map[string]*manifest.Workspace{},
		routes:     map[string]*manifest.Route{},
		meanRate:   1,
		salt:       xxhash.Sum64String(v.ApplyID),
	}
	m := &idx.source.Manifest
	sum := 0.0
	for i := range m.Workspaces {
		w := &m.Workspaces[i]
		idx.workspaces[w.Name] = w
		sum += w.Rate
	}
	if len(m.Workspaces) > 0 {
		idx.meanRate = sum / float64(len(m.Workspaces))
	}
	for i := range m.Routes {
		idx.routes[m.Routes[i].Name] = &m.Routes[i]
	}
	idx.assignClasses()
	return idx
}

// rateLimited returns the workspace of that name if it has a rate limit, or nil.
func (idx *manifestIndex) rateLimited(name string) *manifest.Workspace {
	if w := idx.workspaces[name]; w != nil && w.Rate > 0 {
		return w
	}
	return nil
}

func allowanceOf(w *manifest.Workspace) quota.Allowance {
	return quota.Allowance{Rate: w.Rate, Burst: w.Burst}
}

func (s *State) manifestVersion() uint64 {
	if s.manifest == nil {
		return 0
	}
	return s.manifest.source.Version
}

// shareWeight returns the weight of a workspace's calls in fair sharing: its rate, or the
// mean rate for calls without a known workspace.
func (s *State) shareWeight(workspace string) float64 {
	if s.manifest == nil {
		return 1
	}
	if w, ok := s.manifest.workspaces[workspace]; ok {
		return w.Rate
	}
	return s.manifest.meanRate
}

// applyManifest makes a manifest the active one if it is newer than the current one.
func (s *State) applyManifest(now time.Time, v *manifest.Compiled) {
	if v.Version <= s.manifestVersion() {
		return
	}
	var replaced *manifest.Compiled
	if s.manifest != nil {
		replaced = s.manifest.source
	}
	s.manifest = newManifestIndex(v)
	s.applyAllowances(now)
	s.configureWarmup(now)
	s.self.ManifestVersion = v.Version
	s.effects.NewManifest = v
	s.addNotice(Notice{Kind: NoticeManifestActive, Version: v.Version})
	s.spreadManifest(now, replaced)
}

// applyAllowances passes the manifest's rate limits to the token pool and to the shards that
// this node owns. Calls that wait for tokens of a workspace without a limit are dispatched,
// or refused if the workspace is gone, and shards that no longer exist are released.
func (s *State) applyAllowances(now time.Time) {
	for _, w := range s.manifest.workspaces {
		if s.manifest.rateLimited(w.Name) != nil {
			s.tokenPool.SetAllowance(w.Name, allowanceOf(w))
		}
	}
	gone := s.tokenPool.RemoveUndeclared(func(name string) bool { return s.manifest.rateLimited(name) != nil })
	for _, id := range gone {
		c, ok := s.calls[CallID(id)]
		switch {
		case !ok:
		case s.manifest.workspaces[c.workspace] == nil:
			s.refuse(now, c, ReasonUnknownKey)
		default:
			s.dispatch(now, c, "") // its workspace no longer has a rate limit
		}
	}
	for _, shard := range s.shardOwner.Shards() {
		if !s.isDeclared(shard) {
			s.releaseShard(shard)
			continue
		}
		s.shardOwner.UpdateAllowance(now, shard, allowanceOf(s.manifest.workspaces[shard.Workspace]))
	}
}
