package evacuation

import "time"

// Change lists the domains that two sets differ in. Age is the time since an evacuation was
// first known.
type Change struct {
	Started []Domain
	Ended   []Domain
}

// Empty reports whether the sets hold the same domains.
func (c Change) Empty() bool { return len(c.Started)+len(c.Ended) == 0 }

// Tracker holds the newest set that a node knows. The zero value knows none.
type Tracker struct {
	set         Set
	known       bool
	confirmedAt time.Time
	since       map[string]time.Time // by domain: when a node first read its key
}

// Apply replaces the known set by a newer one. It reports whether it did, and what changed.
func (t *Tracker) Apply(now time.Time, s Set) (Change, bool) {
	if t.known && s.Revision <= t.set.Revision {
		return Change{}, false
	}
	var c Change
	since := make(map[string]time.Time, len(s.Domains))
	for _, d := range s.Domains {
		at := now.Add(-d.Age)
		if before, ok := t.since[d.Name]; ok && before.Before(at) {
			at = before
		}
		since[d.Name] = at
		if !t.set.Includes(d.Name) {
			c.Started = append(c.Started, Domain{Name: d.Name, Revision: d.Revision, Age: now.Sub(at)})
		}
	}
	for _, d := range t.set.Domains {
		if !s.Includes(d.Name) {
			c.Ended = append(c.Ended, Domain{Name: d.Name, Revision: s.Revision, Age: now.Sub(t.since[d.Name])})
		}
	}
	t.set, t.known, t.since = s, true, since
	return c, true
}

// Confirm applies the statement that the set of a revision was the newest at the given time.
// If the tracker has that set, or a newer one, its set was up to date then.
func (t *Tracker) Confirm(revision uint64, at time.Time) {
	if t.known && t.set.Revision >= revision && at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

// Known reports whether a set is known.
func (t *Tracker) Known() bool { return t.known }

// ConfirmedAt returns the last time at which the set was known to be the newest, zero if it
// never was.
func (t *Tracker) ConfirmedAt() time.Time { return t.confirmedAt }

// Includes reports whether the named domain is evacuated.
func (t *Tracker) Includes(domain string) bool { return t.set.Includes(domain) }

// Count returns the number of evacuated domains.
func (t *Tracker) Count() int { return len(t.set.Domains) }

// Set returns the known set, with the ages at the given time.
func (t *Tracker) Set(now time.Time) Set {
	s := Set{Revision: t.set.Revision}
	for _, d := range t.set.Domains {
		d.Age = max(0, now.Sub(t.since[d.Name]))
		s.Domains = append(s.Domains, d)
	}
	return s
}
