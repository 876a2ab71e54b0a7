package store

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"celeryshelf/core"
)

const (
	// departuresTTL is how long the departures of a node's target are kept. It outlives an
	// instance that serves on after its departure, and a restart of the node.
	departuresTTL = 10 * time.Minute
	// maxInstanceIDBytes is far above the length of an ID. It keeps what another writer has
	// left in the store from being used.
	maxInstanceIDBytes = 256
)

// saveDepartures writes the departures under a lease of their own: they must outlive the
// process and its leases.
func (s *Session) saveDepartures(ctx context.Context, r *core.SaveDepartures) error {
	value, err := json.Marshal(r.Departures)
	if err != nil {
		return fmt.Errorf("encode departures: %w", err)
	}
	lease, err := s.Client.Grant(ctx, departuresTTL)
	if err != nil {
		return fmt.Errorf("lease for departures: %w", err)
	}
	if err := s.Client.Put(ctx, s.Layout.departuresKey(s.NodeName), value, lease); err != nil {
		return fmt.Errorf("save departures: %w", err)
	}
	s.sink.Post(&core.DeparturesSaved{Revision: r.Revision})
	return nil
}

// ownDepartures returns the departures that an earlier process of this node has stored.
func (s *Session) ownDepartures(pairs []KeyValue) []core.Departure {
	key := s.Layout.departuresKey(s.NodeName)
	for _, p := range pairs {
		if p.Key != key {
			continue
		}
		list, err := decodeDepartures(p.Value)
		if err != nil {
			s.warnEntry(Change{Key: p.Key, Value: p.Value}, err)
		}
		return list
	}
	return nil
}

// decodeDepartures decodes and checks a stored value.
func decodeDepartures(value []byte) ([]core.Departure, error) {
	var list []core.Departure
	if err := json.Unmarshal(value, &list); err != nil {
		return nil, fmt.Errorf("decode departures: %w", err)
	}
	if len(list) > core.MaxDepartures {
		return nil, fmt.Errorf("%d departures, want at most %d", len(list), core.MaxDepartures)
	}
	for _, d := range list {
		if d.StartUnixMilli < 0 || d.UnixMilli < 0 || len(d.InstanceID) > maxInstanceIDBytes {
			return nil, fmt.Errorf("departure of an instance with an ID of %d bytes that started at %d ms and departed at %d ms", len(d.InstanceID), d.StartUnixMilli, d.UnixMilli)
		}
	}
	return list, nil
}
