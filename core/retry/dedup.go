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
	standing Status
	call     uint64
	home     Coordinator // of a Recorded entry
	at       time.Time
}

// DedupTable records which identities have run or may have run.
type DedupTable struct {
	entries map[IdempotencyKey]entry
	order   []IdempotencyKey // by age of first record
}

// NewDedupTable returns an empty ledger.
func NewDedupTable() *DedupTable { return &DedupTable{entries: map[IdempotencyKey]entry{}} }

// Lookup returns an identity's standing and the call that ran it here.
func (l *DedupTable) Lookup(id IdempotencyKey) (Status, uint64) {
	e := l.entries[id]
	return e.standing, e.call
}

// SetStatus records a standing at this node, which never falls.
func (l *DedupTable) SetStatus(now time.Time, id IdempotencyKey, s Status, call uint64) {
	e := l.open(now, id)
	if s > e.standing {
		e.standing, e.call = s, call
	}
	l.entries[id] = e
}

// RecordRemote keeps a copy of another home's record and reports whether the identity
// was known from anyone else. A home may record again what it has released.
func (l *DedupTable) RecordRemote(now time.Time, id IdempotencyKey, home Coordinator) (known bool) {
	e := l.open(now, id)
	known = e.standing > RecordedRemotely || e.standing == RecordedRemotely && e.home != home
	if e.standing == Unseen {
		e.standing, e.home = RecordedRemotely, home
	}
	l.entries[id] = e
	return known
}

func (l *DedupTable) open(now time.Time, id IdempotencyKey) entry {
	e, ok := l.entries[id]
	if !ok {
		l.order = append(l.order, id)
		e.at = now
	}
	return e
}

// Keys returns every identity held, oldest first.
func (l *DedupTable) Keys() []IdempotencyKey {
	out := make([]IdempotencyKey, 0, len(l.entries))
	for _, id := range l.order {
		if _, ok := l.entries[id]; ok {
			out = append(out, id)
		}
	}
	return out
}

// Release forgets an identity whose call certainly did not run.
func (l *DedupTable) Release(id IdempotencyKey) { delete(l.entries, id) }

// RemoveExpired drops the identities older than Retention.
func (l *DedupTable) RemoveExpired(now time.Time) {
	for len(l.order) > 0 {
		id := l.order[0]
		if e, known := l.entries[id]; known && now.Sub(e.at) < Retention {
			return
		}
		delete(l.entries, id)
		l.order = l.order[1:]
	}
}
