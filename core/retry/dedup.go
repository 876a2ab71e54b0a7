package retry

import "time"

// Retention is how long a repeat of an Idempotency-Key is recognized.
const Retention = 10 * time.Minute

// IdempotencyKey identifies one logical call of a workspace by its Idempotency-Key header.
type IdempotencyKey struct {
	Workspace string `json:"ws"`
	Hash      uint64 `json:"key"` // hash of the header value and the route
}

// Status is what a DedupTable knows about the call under a key.
type Status uint8

// Statuses of a key, in the order in which they may change.
const (
	Unseen           Status = iota
	RecordedRemotely        // another node may be running it or may have run it
	Running                 // the local target is running it, or its record is being copied before that
	Answered                // its answer is kept at this node
)

// Coordinator identifies the process that runs the call under a key and deduplicates
// its repeats.
type Coordinator struct {
	Name        string
	Incarnation uint64
}

type entry struct {
	status      Status
	call        uint64
	coordinator Coordinator // of a RecordedRemotely entry
	recordedAt  time.Time
}

// DedupTable records the keys whose calls have run or may have run.
type DedupTable struct {
	entries map[IdempotencyKey]entry
	order   []IdempotencyKey // oldest first; may hold released keys, and twice a key that was recorded again
}

// NewDedupTable returns an empty table.
func NewDedupTable() *DedupTable { return &DedupTable{entries: map[IdempotencyKey]entry{}} }

// Lookup returns the status of a key and the call that ran under it at this node.
func (t *DedupTable) Lookup(key IdempotencyKey) (Status, uint64) {
	e := t.entries[key]
	return e.status, e.call
}

// SetStatus raises the status of a key at this node. A lower status is ignored.
func (t *DedupTable) SetStatus(now time.Time, key IdempotencyKey, s Status, call uint64) {
	e := t.findOrAdd(now, key)
	if s > e.status {
		e.status, e.call = s, call
	}
	t.entries[key] = e
}

// RecordRemote keeps a copy of another coordinator's record and reports whether the key
// was already known from this node or a different coordinator. A coordinator may record a
// key again after it has released it.
func (t *DedupTable) RecordRemote(now time.Time, key IdempotencyKey, coordinator Coordinator) (known bool) {
	e := t.findOrAdd(now, key)
	known = e.status > RecordedRemotely || e.status == RecordedRemotely && e.coordinator != coordinator
	if e.status == Unseen {
		e.status, e.coordinator = RecordedRemotely, coordinator
	}
	t.entries[key] = e
	return known
}

// findOrAdd returns the entry of a key. For a new key it adds the key to order and returns
// an entry that the caller must store.
func (t *DedupTable) findOrAdd(now time.Time, key IdempotencyKey) entry {
	e, ok := t.entries[key]
	if !ok {
		t.order = append(t.order, key)
		e.recordedAt = now
	}
	return e
}

// Keys returns the recorded keys, oldest first. A key that was released and recorded again
// may appear twice.
func (t *DedupTable) Keys() []IdempotencyKey {
	out := make([]IdempotencyKey, 0, len(t.entries))
	for _, key := range t.order {
		if _, ok := t.entries[key]; ok {
			out = append(out, key)
		}
	}
	return out
}

// Release removes a key whose call is known not to have run.
func (t *DedupTable) Release(key IdempotencyKey) { delete(t.entries, key) }

// RemoveExpired removes the keys that were recorded at least Retention ago. A key that was
// released and recorded again keeps its first position in order, and delays the removal of
// the keys after it until it expires itself.
func (t *DedupTable) RemoveExpired(now time.Time) {
	for len(t.order) > 0 {
		key := t.order[0]
		if e, known := t.entries[key]; known && now.Sub(e.recordedAt) < Retention {
			return
		}
		delete(t.entries, key)
		t.order = t.order[1:]
	}
}
