package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/quota"
)

const (
	// maxCommitEntries is the number of conditions and writes that the platform's store
	// accepts in one transaction.
	maxCommitEntries = 32
	// claimPause is how long no shard is claimed after a call to the store has failed. Each
	// pause is random, up to half longer, so that nodes do not claim in step.
	claimPause = 1 * time.Second
)

// claimValue returns the value of a shard's key. It names the node and the lease, so
// that a claim whose response was lost can be resolved by reading the key back.
func (s *Session) claimValue(lease int64) []byte {
	v, _ := json.Marshal(shardClaim{Owner: s.NodeName, ID: strconv.FormatInt(lease, 16), Address: s.Address})
	return v
}

// fromPreviousProcess reports whether a claim was made by an earlier process of this
// node. That process has ended, because two cannot listen on the same address.
func (s *Session) fromPreviousProcess(value []byte) bool {
	var c shardClaim
	err := json.Unmarshal(value, &c)
	return err == nil && c.Owner == s.NodeName && c.Address.IsValid() && c.Address == s.Address
}

// isShardClaim reports whether a value is a claim. A value of another writer that is none
// would otherwise leave the shard without an owner for ever.
func isShardClaim(value []byte) bool {
	var c shardClaim
	return json.Unmarshal(value, &c) == nil && c.Owner != ""
}

// claimShards claims shards in as few transactions as possible and reports which of them this
// node holds. It takes over claims of an earlier process of this node.
func (s *Session) claimShards(ctx context.Context, claims []*core.ClaimShard) error {
	if s.Clock.Now().Before(s.claimsPausedUntil) {
		return nil
	}
	err := s.tryClaims(ctx, claims)
	if err != nil {
		s.claimsPausedUntil = s.Clock.Now().Add(claimPause + rand.N(claimPause/2))
	}
	return err
}

func (s *Session) tryClaims(ctx context.Context, claims []*core.ClaimShard) error {
	lease, err := s.claims.acquire(ctx)
	if err != nil {
		return err
	}
	var open []*core.ClaimShard
	for _, chunk := range s.chunks(claims, lease) {
		held, err := s.Client.Commit(ctx, chunk.writes, lease)
		if err != nil {
			return fmt.Errorf("claim %d shards: %w", len(chunk.claims), err)
		}
		if !held {
			open = append(open, chunk.claims...)
			continue
		}
		s.reportClaims(lease, chunk.claims, true)
	}
	if len(open) == 0 {
		return nil
	}
	return s.resolveClaims(ctx, open, lease)
}

// resolveClaims reads the records of all shards, reports who holds the claimed ones, and
// claims again those that are free or can be taken over.
func (s *Session) resolveClaims(ctx context.Context, claims []*core.ClaimShard, lease int64) error {
	pairs, _, err := s.Client.Range(ctx, s.Layout.shardPrefix())
	if err != nil {
		return fmt.Errorf("read back shard claims: %w", err)
	}
	s.recordPreviousClaims(pairs)
	records := make(map[string]KeyValue, len(pairs))
	for _, p := range pairs {
		records[p.Key] = p
	}
	value := s.claimValue(lease)
	var again []*core.ClaimShard
	for _, c := range claims {
		p, found := records[s.Layout.shardKey(c.Shard)]
		switch {
		case found && bytes.Equal(p.Value, value):
			s.reportClaims(lease, []*core.ClaimShard{c}, true)
		case found && (s.fromPreviousProcess(p.Value) || !isShardClaim(p.Value)):
			s.setPreviousClaim(p.Key, p.Revision)
			again = append(again, c)
		case found:
			s.reportChange(Change{Key: p.Key, Value: p.Value})
		case !s.anyRecord(records, c.Conflicting):
			again = append(again, c)
		}
	}
	for _, chunk := range s.chunks(again, lease) {
		held, err := s.Client.Commit(ctx, chunk.writes, lease)
		if err != nil {
			return fmt.Errorf("take over %d shards: %w", len(chunk.claims), err)
		}
		s.reportClaims(lease, chunk.claims, held)
	}
	return nil
}

func (s *Session) anyRecord(records map[string]KeyValue, shards []quota.Shard) bool {
	for _, shard := range shards {
		if _, found := records[s.Layout.shardKey(shard)]; found {
			return true
		}
	}
	return false
}

// claimChunk is the claims of one transaction.
type claimChunk struct {
	claims []*core.ClaimShard
	writes []Write
}

// chunks distributes claims over transactions that the store accepts.
func (s *Session) chunks(claims []*core.ClaimShard, lease int64) []claimChunk {
	var out []claimChunk
	value := s.claimValue(lease)
	entries := maxCommitEntries
	for _, c := range claims {
		w := Write{Key: s.Layout.shardKey(c.Shard), Value: value}
		w.Revision = s.takePreviousClaim(w.Key)
		for _, shard := range c.Conflicting {
			w.Absent = append(w.Absent, s.Layout.shardKey(shard))
		}
		size := 2 + len(w.Absent) // conditions on the keys and the write
		if entries+size > maxCommitEntries {
			out, entries = append(out, claimChunk{}), 0
		}
		last := &out[len(out)-1]
		last.claims, last.writes = append(last.claims, c), append(last.writes, w)
		entries += size
	}
	return out
}

// reportClaims reports the outcome of claims. Claims under a lease that has expired since are
// not reported as held.
func (s *Session) reportClaims(lease int64, claims []*core.ClaimShard, held bool) {
	report := func() {
		for _, c := range claims {
			s.sink.Post(&core.ClaimDone{Shard: c.Shard, Held: held})
		}
	}
	if held {
		s.claims.markUsed(lease)
		s.claims.whileHeld(lease, report)
		return
	}
	report()
}

// recordPreviousClaims records the revisions of the claims of an earlier process of
// this node, so that taking them over needs a single call.
func (s *Session) recordPreviousClaims(pairs []KeyValue) {
	own := s.claimValue(s.claims.current())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previousClaims = map[string]int64{}
	for _, p := range pairs {
		if s.fromPreviousProcess(p.Value) && !bytes.Equal(p.Value, own) {
			s.previousClaims[p.Key] = p.Revision
		}
	}
}

// clearPreviousClaims discards the revisions, which the store may give out again.
func (s *Session) clearPreviousClaims() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.previousClaims)
}

func (s *Session) setPreviousClaim(key string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previousClaims[key] = revision
}

// takePreviousClaim removes and returns the revision of a claim that can be taken over, or 0.
func (s *Session) takePreviousClaim(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := s.previousClaims[key]
	delete(s.previousClaims, key)
	return revision
}
