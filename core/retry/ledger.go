package retry

import "time"

// Retention is how long a repeat of an Idempotency-Key is recognised.
const Retention = 10 * time.Minute

// Identity names one logical call of a workspace by its Idempotency-Key.
type Identity struct {
	Workspace string `json:"ws"`
	Key       uint64 `json:"key"` // digest of the header's value and the route
}

// Standing is what a ledger knows of an identity.
type Standing uint8

// Standings, from nothing known to an answer kept.
const (
	Unseen   Standing = iota
	Recorded          // another node may be running it or have run it
	Running           // it is at the local target
	Answered          // the first answer is kept here
)

// Home names the process that answers for an identity.
type Home struct {
	Name        string
	Incarnation uint64
}

type entry struct {
	standing Standing
	call     uint64
	home     Home // of a Recorded entry
	at       time.Time
}

// Ledger records which identities have run or may have run.
type Ledger struct {
	entries map[Identity]entry
	order   []Identity // by age of first record
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: map[Identity]entry{}} }

// Look returns an identity's standing and the call that ran it here.
func (l *Ledger) Look(id Identity) (Standing, uint64) {
	e := l.entries[id]
	return e.standing, e.call
}

// Set records a standing at this node, which never falls.
func (l *Ledger) Set(now time.Time, id Identity, s Standing, call uint64) {
	e := l.open(now, id)
	if s > e.standing {
		e.standing, e.call = s, call
	}
	l.entries[id] = e
}

// Record keeps a copy of another home's record and reports whether the identity
// was known from anyone else. A home may record again what it has released.
func (l *Ledger) Record(now time.Time, id Identity, home Home) (known bool) {
	e := l.open(now, id)
	known = e.standing > Recorded || e.standing == Recorded && e.home != home
	if e.standing == Unseen {
		e.standing, e.home = Recorded, home
	}
	l.entries[id] = e
	return known
}

func (l *Ledger) open(now time.Time, id Identity) entry {
	e, ok := l.entries[id]
	if !ok {
		l.order = append(l.order, id)
		e.at = now
	}
	return e
}

// All returns every identity held, oldest first.
func (l *Ledger) All() []Identity {
	out := make([]Identity, 0, len(l.entries))
	for _, id := range l.order {
		if _, ok := l.entries[id]; ok {
			out = append(out, id)
		}
	}
	return out
}

// Release forgets an identity whose call certainly did not run.
func (l *Ledger) Release(id Identity) { delete(l.entries, id) }

// Sweep drops the identities older than Retention.
func (l *Ledger) Sweep(now time.Time) {
	for len(l.order) > 0 {
		id := l.order[0]
		if e, known := l.entries[id]; known && now.Sub(e.at) < Retention {
			return
		}
		delete(l.entries, id)
		l.order = l.order[1:]
	}
}
