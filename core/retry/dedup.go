package retry

import "time"

// Retention is how long a repeat of an Idempotency-Key is recognised.
const Retention = 10 * time.Minute

// IdempotencyKey names one logical call of a workspace by its Idempotency-Key.
type IdempotencyKey struct {
	Workspace string `json:"ws"`
	Hash      uint64 `json:"key"` // digest of the header's value and the route
}

// Status is what a ledger knows of an identity.
type Status uint8

// Standings, from nothing known to an answer kept.
const (
	Unseen           Status = iota
	RecordedRemotely        // another node may be running it or have run it
	Running                 // it is at the local target
	Answered                // the first answer is kept here
)

// Coordinator names the process that answers for an identity.
type Coordinator struct {
	Name        string
	Incarnation uint64
}

type entry struct {
	status      Status
	call        uint64
	coordinator Coordinator // of a Recorded entry
	recordedAt  time.Time
}

// DedupTable records which identities have run or may have run.
type DedupTable struct {
	entries map[IdempotencyKey]entry
	order   []IdempotencyKey // by age of first record
}

// NewDedupTable returns an empty ledger.
func NewDedupTable() *DedupTable { return &DedupTable{entries: map[IdempotencyKey]entry{}} }

// Lookup returns an identity's standing and the call that ran it here.
func (t *DedupTable) Lookup(key IdempotencyKey) (Status, uint64) {
	e := t.entries[key]
	return e.status, e.call
}

// SetStatus records a standing at this node, which never falls.
func (t *DedupTable) SetStatus(now time.Time, key IdempotencyKey, s Status, call uint64) {
	e := t.findOrAdd(now, key)
	if s > e.status {
		e.status, e.call = s, call
	}
	t.entries[key] = e
}

// RecordRemote keeps a copy of another home's record and reports whether the identity
// was known from anyone else. A home may record again what it has released.
func (t *DedupTable) RecordRemote(now time.Time, key IdempotencyKey, coordinator Coordinator) (known bool) {
	e := t.findOrAdd(now, key)
	known = e.status > RecordedRemotely || e.status == RecordedRemotely && e.coordinator != coordinator
	if e.status == Unseen {
		e.status, e.coordinator = RecordedRemotely, coordinator
	}
	t.entries[key] = e
	return known
}

func (t *DedupTable) findOrAdd(now time.Time, key IdempotencyKey) entry {
	e, ok := t.entries[key]
	if !ok {
		t.order = append(t.order, key)
		e.recordedAt = now
	}
	return e
}

// Keys returns every identity held, oldest first.
func (t *DedupTable) Keys() []IdempotencyKey {
	out := make([]IdempotencyKey, 0, len(t.entries))
	for _, id := range t.order {
		if _, ok := t.entries[id]; ok {
			out = append(out, id)
		}
	}
	return out
}

// Release forgets an identity whose call certainly did not run.
func (t *DedupTable) Release(key IdempotencyKey) { delete(t.entries, key) }

// RemoveExpired drops the identities older than Retention.
func (t *DedupTable) RemoveExpired(now time.Time) {
	for len(t.order) > 0 {
		id := t.order[0]
		if e, known := t.entries[id]; known && now.Sub(e.recordedAt) < Retention {
			return
		}
		delete(t.entries, id)
		t.order = t.order[1:]
	}
}
