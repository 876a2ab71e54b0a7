package standin

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"
)

type revisionHeader struct {
	Revision int64 `json:"revision,string"`
}

type pair struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Lease          int64  `json:"lease,string"`
}

type rangeIn struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	KeysOnly bool   `json:"keys_only"`
}

type rangeOut struct {
	Header revisionHeader `json:"header"`
	Pairs  []pair         `json:"kvs,omitempty"`
}

type putIn struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type deleteIn struct {
	Key []byte `json:"key"`
}

type headerOut struct {
	Header revisionHeader `json:"header"`
}

type compareIn struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Value          []byte `json:"value"`
}

type operationIn struct {
	Put    *putIn    `json:"request_put"`
	Delete *deleteIn `json:"request_delete_range"`
}

type txnIn struct {
	Compare []compareIn   `json:"compare"`
	Success []operationIn `json:"success"`
}

type txnOut struct {
	Header    revisionHeader `json:"header"`
	Succeeded bool           `json:"succeeded"`
}

type leaseIn struct {
	TTL int64 `json:"TTL,string"`
	ID  int64 `json:"ID,string"`
}

type leaseOut struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string,omitempty"`
}

type keepAliveOut struct {
	Result leaseOut `json:"result"`
}

type watchIn struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type watchEventOut struct {
	Type string `json:"type,omitempty"`
	Pair pair   `json:"kv"`
}

type watchResultOut struct {
	Header  revisionHeader  `json:"header"`
	Created bool            `json:"created,omitempty"`
	Events  []watchEventOut `json:"events,omitempty"`
}

type watchOut struct {
	Result watchResultOut `json:"result"`
}

func (s *Store) header() revisionHeader { return revisionHeader{Revision: s.revision} }

func within(key string, from, end []byte) bool {
	k := []byte(key)
	if len(end) == 0 {
		return bytes.Equal(k, from)
	}
	return bytes.Compare(k, from) >= 0 && bytes.Compare(k, end) < 0
}

func (s *Store) rangeOf(in rangeIn) (rangeOut, bool) {
	out := rangeOut{Header: s.header()}
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if !within(key, in.Key, in.RangeEnd) {
			continue
		}
		e := s.entries[key]
		p := pair{Key: []byte(key), CreateRevision: e.created, ModRevision: e.mod, Lease: e.lease}
		if !in.KeysOnly {
			p.Value = e.value
		}
		out.Pairs = append(out.Pairs, p)
	}
	return out, false
}

func (s *Store) put(in putIn) (headerOut, bool) {
	if _, ok := s.leases[in.Lease]; ok || in.Lease == 0 {
		s.set(string(in.Key), in.Value, in.Lease)
	}
	return headerOut{Header: s.header()}, true
}

func (s *Store) txn(in txnIn) (txnOut, bool) {
	for _, c := range in.Compare {
		if !s.matches(c) {
			return txnOut{Header: s.header()}, false
		}
	}
	for _, o := range in.Success {
		if o.Put != nil {
			s.put(*o.Put)
		}
		if o.Delete != nil {
			s.remove(string(o.Delete.Key))
		}
	}
	return txnOut{Header: s.header(), Succeeded: true}, true
}

func (s *Store) matches(c compareIn) bool {
	e := s.entries[string(c.Key)]
	switch c.Target {
	case "CREATE":
		return e.created == c.CreateRevision
	case "MOD":
		return e.mod == c.ModRevision
	default:
		return bytes.Equal(e.value, c.Value)
	}
}

func (s *Store) grantOf(in leaseIn) (leaseOut, bool) {
	ttl := time.Duration(in.TTL) * time.Second
	return leaseOut{ID: s.grant(ttl), TTL: in.TTL}, true
}

func (s *Store) keepAliveOf(in leaseIn) (keepAliveOut, bool) {
	ttl, _ := s.keepAlive(in.ID)
	return keepAliveOut{Result: leaseOut{ID: in.ID, TTL: int64(ttl / time.Second)}}, false
}

func (s *Store) revoke(in leaseIn) (headerOut, bool) {
	s.end(in.ID)
	return headerOut{Header: s.header()}, true
}

// watch streams changes until the caller leaves or the store goes away.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	var in watchIn
	if !decodeInto(w, r, &in) {
		return
	}
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	s.mu.Lock()
	created := watchOut{Result: watchResultOut{Header: s.header(), Created: true}}
	s.mu.Unlock()
	_ = enc.Encode(created)
	_ = flush.Flush()
	next := in.Create.StartRevision
	for {
		s.mu.Lock()
		out, at := s.since(next, in)
		changed, faults := s.changed, s.faults
		s.mu.Unlock()
		if faults.Unavailable {
			return
		}
		if !faults.SuppressWatchEvents && len(out.Result.Events) > 0 {
			if enc.Encode(out) != nil || flush.Flush() != nil {
				return
			}
		}
		next = at
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes from a revision on and the revision after them.
func (s *Store) since(next int64, in watchIn) (watchOut, int64) {
	out := watchOut{Result: watchResultOut{Header: s.header()}}
	start, _ := slices.BinarySearchFunc(s.history, next, func(c change, n int64) int { return int(c.revision - n) })
	for _, c := range s.history[start:] {
		if !within(c.key, in.Create.Key, in.Create.RangeEnd) {
			continue
		}
		e := watchEventOut{Pair: pair{Key: []byte(c.key), Value: c.value, ModRevision: c.mod}}
		if c.deleted {
			e.Type = "DELETE"
		}
		out.Result.Events = append(out.Result.Events, e)
	}
	return out, s.revision + 1
}
