package store

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"celeryshelf/core"
)

// claimValue names the node and the lease that a shard is held under, so that a
// lost answer is settled by reading the value back.
func (s *Session) claimValue(lease int64) []byte {
	v, _ := json.Marshal(shardClaim{Owner: s.NodeName, ID: strconv.FormatInt(lease, 16), Address: s.Address})
	return v
}

// fromPreviousProcess reports whether a claim was made by an earlier process of this node, which
// has ended: two cannot listen on one address.
func (s *Session) fromPreviousProcess(value []byte) bool {
	var c shardClaim
	err := json.Unmarshal(value, &c)
	return err == nil && c.Owner == s.NodeName && c.Address.IsValid() && c.Address == s.Address
}

func (s *Session) claimShard(ctx context.Context, r *core.ClaimShard) error {
	lease := s.currentLease()
	if lease == 0 {
		return nil
	}
	var rivals []string
	for _, o := range r.Conflicting {
		rivals = append(rivals, s.Layout.shardKey(o))
	}
	key, value := s.Layout.shardKey(r.Shard), s.claimValue(lease)
	held, err := s.takeOver(ctx, key, value, lease), error(nil)
	if !held {
		held, err = s.Client.Create(ctx, key, rivals, value, lease)
	}
	if err != nil || !held {
		pair, rerr := s.Client.Get(ctx, key)
		if rerr != nil {
			return fmt.Errorf("settle claim: %w", rerr)
		}
		held = pair != nil && string(pair.Value) == string(value)
		if pair != nil && !held && s.fromPreviousProcess(pair.Value) {
			if held, err = s.Client.CompareAndSwap(ctx, key, pair.Revision, value, lease); err != nil {
				return fmt.Errorf("take over shard: %w", err)
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if held && s.lease != lease {
		return nil // the lease the shard was taken under has run out since
	}
	s.sink.Post(&core.ClaimDone{Shard: r.Shard, Held: held})
	return nil
}

// recordPreviousClaims keeps the revisions of the claims that an earlier process of this node left,
// so that taking one over is a single call.
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

// takeOver takes a shard that an earlier process of this node held, if its claim still
// stands as it was read.
func (s *Session) takeOver(ctx context.Context, key string, value []byte, lease int64) bool {
	s.mu.Lock()
	revision, ok := s.previousClaims[key]
	delete(s.previousClaims, key)
	s.mu.Unlock()
	if !ok {
		return false
	}
	held, err := s.Client.CompareAndSwap(ctx, key, revision, value, lease)
	return held && err == nil // otherwise the key is read again
}
