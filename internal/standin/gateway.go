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

type keyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Lease          int64  `json:"lease,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	KeysOnly bool   `json:"keys_only"`
}

type rangeResponse struct {
	Header    revisionHeader `json:"header"`
	KeyValues []keyValue     `json:"kvs,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type headerResponse struct {
	Header revisionHeader `json:"header"`
}

type comparison struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Value          []byte `json:"value"`
}

type requestOp struct {
	Put    *putRequest    `json:"request_put"`
	Delete *deleteRequest `json:"request_delete_range"`
}

type txnRequest struct {
	Compare []comparison `json:"compare"`
	Success []requestOp  `json:"success"`
}

type txnResponse struct {
	Header    revisionHeader `json:"header"`
	Succeeded bool           `json:"succeeded"`
}

type leaseRequest struct {
	TTL int64 `json:"TTL,string"`
	ID  int64 `json:"ID,string"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string,omitempty"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type watchEvent struct {
	Type     string   `json:"type,omitempty"`
	KeyValue keyValue `json:"kv"`
}

type watchResult struct {
	Header  revisionHeader `json:"header"`
	Created bool           `json:"created,omitempty"`
	Events  []watchEvent   `json:"events,omitempty"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

func (s *Store) headerLocked() revisionHeader { return revisionHeader{Revision: s.revision} }

func inRange(key string, from, end []byte) bool {
	k := []byte(key)
	if len(end) == 0 {
		return bytes.Equal(k, from)
	}
	return bytes.Compare(k, from) >= 0 && bytes.Compare(k, end) < 0
}

func (s *Store) handleRange(in rangeRequest) (rangeResponse, bool) {
	out := rangeResponse{Header: s.headerLocked()}
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if !inRange(key, in.Key, in.RangeEnd) {
			continue
		}
		e := s.values[key]
		p := keyValue{Key: []byte(key), CreateRevision: e.createRevision, ModRevision: e.modRevision, Lease: e.leaseID}
		if !in.KeysOnly {
			p.Value = e.value
		}
		out.KeyValues = append(out.KeyValues, p)
	}
	return out, false
}

// handlePut writes nothing if the lease does not exist, but responds as after a write.
// etcd responds with an error.
func (s *Store) handlePut(in putRequest) (headerResponse, bool) {
	if _, ok := s.leases[in.Lease]; ok || in.Lease == 0 {
		s.putLocked(string(in.Key), in.Value, in.Lease)
	}
	return headerResponse{Header: s.headerLocked()}, true
}

func (s *Store) handleTxn(in txnRequest) (txnResponse, bool) {
	for _, c := range in.Compare {
		if !s.holdsLocked(c) {
			return txnResponse{Header: s.headerLocked()}, false
		}
	}
	for _, o := range in.Success {
		if o.Put != nil {
			s.handlePut(*o.Put)
		}
		if o.Delete != nil {
			s.deleteLocked(string(o.Delete.Key))
		}
	}
	return txnResponse{Header: s.headerLocked(), Succeeded: true}, true
}

// holdsLocked reports whether the key equals the comparison's revision or value; an
// absent key has revision 0.
func (s *Store) holdsLocked(c comparison) bool {
	e := s.values[string(c.Key)]
	switch c.Target {
	case "CREATE":
		return e.createRevision == c.CreateRevision
	case "MOD":
		return e.modRevision == c.ModRevision
	default:
		return bytes.Equal(e.value, c.Value)
	}
}

func (s *Store) handleLeaseGrant(in leaseRequest) (leaseResponse, bool) {
	ttl := time.Duration(in.TTL) * time.Second
	return leaseResponse{ID: s.grantLocked(ttl), TTL: in.TTL}, true
}

func (s *Store) handleLeaseKeepAlive(in leaseRequest) (keepAliveResponse, bool) {
	ttl, _ := s.keepAliveLocked(in.ID)
	return keepAliveResponse{Result: leaseResponse{ID: in.ID, TTL: int64(ttl / time.Second)}}, false
}

func (s *Store) handleLeaseRevoke(in leaseRequest) (headerResponse, bool) {
	s.revokeLocked(in.ID)
	return headerResponse{Header: s.headerLocked()}, true
}

// handleWatch streams changes until the client disconnects or the store is made
// unavailable. Events that occur while watch events are suppressed are not sent later.
func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	var in watchRequest
	if !decodeRequest(w, r, &in) {
		return
	}
	enc := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	s.mu.Lock()
	created := watchResponse{Result: watchResult{Header: s.headerLocked(), Created: true}}
	s.mu.Unlock()
	_ = enc.Encode(created)
	_ = controller.Flush()
	next := in.Create.StartRevision
	for {
		s.mu.Lock()
		out, following := s.watchEventsLocked(next, in)
		changed, faults := s.changed, s.faults
		s.mu.Unlock()
		if faults.Unavailable {
			return
		}
		if !faults.SuppressWatchEvents && len(out.Result.Events) > 0 {
			if enc.Encode(out) != nil || controller.Flush() != nil {
				return
			}
		}
		next = following
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// watchEventsLocked returns the watched changes from revision next on, and the revision
// from which the following call continues.
func (s *Store) watchEventsLocked(next int64, in watchRequest) (watchResponse, int64) {
	out := watchResponse{Result: watchResult{Header: s.headerLocked()}}
	start, _ := slices.BinarySearchFunc(s.history, next, func(c change, n int64) int { return int(c.revision - n) })
	for _, c := range s.history[start:] {
		if !inRange(c.key, in.Create.Key, in.Create.RangeEnd) {
			continue
		}
		e := watchEvent{KeyValue: keyValue{Key: []byte(c.key), Value: c.value, ModRevision: c.modRevision}}
		if c.deleted {
			e.Type = "DELETE"
		}
		out.Result.Events = append(out.Result.Events, e)
	}
	return out, s.revision + 1
}
