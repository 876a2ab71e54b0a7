package store

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"celeryshelf/core"
	"celeryshelf/core/manifest"
	"celeryshelf/core/member"
	"celeryshelf/core/plan"
	"celeryshelf/core/quota"
)

// ManifestDecoder decodes the operators' manifest from its value in the store.
type ManifestDecoder interface {
	DecodeManifest(value []byte) (manifest.Versioned, error)
}

// JSONManifestDecoder decodes the product's JSON encoding of a manifest.
type JSONManifestDecoder struct{}

// DecodeManifest decodes a value.
func (JSONManifestDecoder) DecodeManifest(value []byte) (manifest.Versioned, error) {
	var m manifest.Versioned
	if err := json.Unmarshal(value, &m); err != nil {
		return m, fmt.Errorf("decode manifest: %w", err)
	}
	return m, nil
}

// Layout defines the keys in the store: the nodes' records under one prefix, and the
// manifest.
type Layout struct {
	Prefix      string
	ManifestKey string // may be outside the prefix
	Decoder     ManifestDecoder
	// Evacuations decodes the operators' keys for evacuated domains, nil if domains cannot be
	// evacuated. OperatorPrefix is a prefix of those keys and of ManifestKey, and is outside
	// Prefix; one read and one watch serve both.
	Evacuations    EvacuationDecoder
	OperatorPrefix string
}

// NewLayout returns the product's default layout under a prefix.
func NewLayout(prefix string) Layout {
	return Layout{Prefix: prefix, ManifestKey: prefix + "manifest", Decoder: JSONManifestDecoder{}}
}

// manifestUnderPrefix reports whether the watch on the prefix covers the manifest.
func (l Layout) manifestUnderPrefix() bool { return strings.HasPrefix(l.ManifestKey, l.Prefix) }

// operatorPrefix returns the prefix under which the operators' keys are read and watched.
func (l Layout) operatorPrefix() string {
	if l.Evacuations != nil {
		return l.OperatorPrefix
	}
	return l.ManifestKey
}

func (l Layout) memberPrefix() string { return l.Prefix + "member/" }

func (l Layout) memberKey(name string) string { return l.memberPrefix() + name }

// departuresKey is under the member prefix, so that a starting node reads it with the members.
func (l Layout) departuresKey(name string) string { return l.memberKey(name) + departuresSuffix }

func (l Layout) shardPrefix() string { return l.Prefix + "quota/" }

const (
	costsKind        = "costs"
	departuresSuffix = "/departures"
)

func (l Layout) costsKey() string { return l.Prefix + costsKind }

func (l Layout) shardKey(s quota.Shard) string {
	return fmt.Sprintf("%s%d.%d/%s", l.shardPrefix(), s.Count, s.Index, s.Workspace)
}

// shardClaim is the value stored under a shard's key.
type shardClaim struct {
	Owner   string         `json:"owner"`
	ID      string         `json:"id"`          // lease of the claim, in hexadecimal
	Address netip.AddrPort `json:"at,omitzero"` // see Config.Address
}

// decodeEvent converts a change into an event for the reducer. It returns nil for keys
// outside the layout and for deletions that the reducer does not need to know of.
func (l Layout) decodeEvent(c Change) (core.Event, error) {
	if c.Key == l.ManifestKey {
		return l.decodeManifest(c)
	}
	name, ok := strings.CutPrefix(c.Key, l.Prefix)
	if !ok {
		return nil, nil
	}
	kind, rest, _ := strings.Cut(name, "/")
	switch kind {
	case "member":
		if strings.HasSuffix(rest, departuresSuffix) {
			return nil, nil // of interest only to a new process of that node
		}
		return decodeMember(rest, c)
	case "quota":
		return decodeShard(rest, c)
	case costsKind:
		return decodeCosts(c)
	default:
		return nil, nil
	}
}

func (l Layout) decodeManifest(c Change) (core.Event, error) {
	if c.Deleted {
		return nil, nil
	}
	m, err := l.Decoder.DecodeManifest(c.Value)
	if err != nil {
		return nil, err
	}
	return compileManifest(m), nil
}

// compileManifest returns the event for a manifest, which may not be valid.
func compileManifest(m manifest.Versioned) core.Event {
	c, err := manifest.Compile(m)
	if err == nil {
		return &core.ManifestStored{Manifest: c}
	}
	return &core.ManifestRejected{Version: m.Version, Detail: manifest.Summary(err)}
}

func decodeMember(name string, c Change) (core.Event, error) {
	if c.Deleted {
		return &core.MemberDeleted{Name: name}, nil
	}
	var m member.Member
	if err := json.Unmarshal(c.Value, &m); err != nil {
		return nil, fmt.Errorf("decode member %s: %w", name, err)
	}
	if m.Name != name {
		return nil, fmt.Errorf("member %s: record is of %q", name, m.Name)
	}
	return &core.MemberStored{Member: m}, nil
}

func decodeShard(rest string, c Change) (core.Event, error) {
	s, err := parseShard(rest)
	if err != nil {
		return nil, err
	}
	if c.Deleted {
		return &core.ShardDeleted{Shard: s}, nil
	}
	var v shardClaim
	if err := json.Unmarshal(c.Value, &v); err != nil {
		return nil, fmt.Errorf("decode shard %s: %w", rest, err)
	}
	if v.Owner == "" {
		return nil, fmt.Errorf("shard %s: record has no owner", rest)
	}
	return &core.ShardStored{ShardRecord: core.ShardRecord{Shard: s, Owner: v.Owner}}, nil
}

// decodeCosts decodes the call costs. A deletion produces no event.
func decodeCosts(c Change) (core.Event, error) {
	if c.Deleted {
		return nil, nil
	}
	var rows []plan.RouteCost
	if err := json.Unmarshal(c.Value, &rows); err != nil {
		return nil, fmt.Errorf("decode costs: %w", err)
	}
	return &core.CostsStored{Rows: plan.ValidCosts(rows)}, nil
}

// parseShard parses the part of a shard's key after the kind: "count.index/workspace".
func parseShard(text string) (quota.Shard, error) {
	split, workspace, ok := strings.Cut(text, "/")
	count, index, dotted := strings.Cut(split, ".")
	if !ok || !dotted {
		return quota.Shard{}, fmt.Errorf("shard key %q: want COUNT.INDEX/WORKSPACE", text)
	}
	n, err := strconv.Atoi(count)
	if err != nil {
		return quota.Shard{}, fmt.Errorf("shard key %q: %w", text, err)
	}
	i, err := strconv.Atoi(index)
	if err != nil {
		return quota.Shard{}, fmt.Errorf("shard key %q: %w", text, err)
	}
	if workspace == "" || !slices.Contains(quota.ShardCounts(), n) || i < 0 || i >= n {
		return quota.Shard{}, fmt.Errorf("shard key %q: no workspace is split so", text)
	}
	return quota.Shard{Workspace: workspace, Index: i, Count: n}, nil
}
