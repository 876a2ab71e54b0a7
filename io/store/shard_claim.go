package store

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"celeryshelf/core"
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

// claimShard tries to claim a shard and reports whether this node holds it. It takes
// over a claim of an earlier process of this node.
func (s *Session) claimShard(ctx context.Context, r *core.ClaimShard) error {
	lease := s.currentLease()
	if lease == 0 {
		return nil
	}
	var conflicting []string
	for _, shard := range r.Conflicting {
		conflicting = append(conflicting, s.Layout.shardKey(shard))
	}
	key, value := s.Layout.shardKey(r.Shard), s.claimValue(lease)
	held, err := s.takeOver(ctx, key, value, lease), error(nil)
	if !held {
		held, err = s.Client.Create(ctx, key, conflicting, value, lease)
	}
	if err != nil || !held {
		pair, getErr := s.Client.Get(ctx, key)
		if getErr != nil {
			return fmt.Errorf("read back shard claim: %w", getErr)
		}
		held = pair != nil && string(pair.Value) == string(value)
		if pair != nil && !held && (s.fromPreviousProcess(pair.Value) || !isShardClaim(pair.Value)) {
			if held, err = s.Client.CompareAndSwap(ctx, key, pair.Revision, value, lease); err != nil {
				return fmt.Errorf("take over shard: %w", err)
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if held && s.lease != lease {
		return nil // the lease of the claim has expired since
	}
	s.sink.Post(&core.ClaimDone{Shard: r.Shard, Held: held})
	return nil
}

// recordPreviousClaims records the revisions of the claims of an earlier process of
// this node, so that taking one over needs a single call.
func (s *Session) recordPreviousClaims(pairs []KeyValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previousClaims = map[string]int64{}
	for _, p := range pairs {
		if s.fromPreviousProcess(p.Value) {
			s.previousClaims[p.Key] = p.Revision
		}
	}
}

// takeOver claims a shard that an earlier process of this node held, if its claim has
// not changed since recordPreviousClaims. It reports whether it did.
func (s *Session) takeOver(ctx context.Context, key string, value []byte, lease int64) bool {
	s.mu.Lock()
	revision, ok := s.previousClaims[key]
	delete(s.previousClaims, key)
	s.mu.Unlock()
	if !ok {
		return false
	}
	held, err := s.Client.CompareAndSwap(ctx, key, revision, value, lease)
	return held && err == nil // claimShard reads the key back otherwise
}
