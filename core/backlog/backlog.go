package backlog

import "time"

// minRemaining bounds the rate at which a single call is assumed to free its slot.
const minRemaining = 100 * time.Microsecond

// entry is a call at the target.
type entry struct {
	id        uint64
	cost      time.Duration // estimated, at slowness 1
	startedAt time.Time     // zero while it waits
}

// Backlog holds the calls at the local target.
type Backlog struct {
	entries []entry
	running int
	waiting time.Duration // cost of the waiting calls
}

// Wait adds a call that waits for a slot.
func (b *Backlog) Wait(id uint64, cost time.Duration) {
	b.Remove(id)
	b.entries = append(b.entries, entry{id: id, cost: cost})
	b.waiting += cost
}

// Start adds a call that runs, or marks one that waited as running.
func (b *Backlog) Start(now time.Time, id uint64, cost time.Duration) {
	b.Remove(id)
	b.entries = append(b.entries, entry{id: id, cost: cost, startedAt: now})
	b.running++
}

// Remove removes a call, if it is there, and returns its estimated cost.
func (b *Backlog) Remove(id uint64) time.Duration {
	for i := range b.entries {
		e := b.entries[i]
		if e.id != id {
			continue
		}
		if e.startedAt.IsZero() {
			b.waiting -= e.cost
		} else {
			b.running--
		}
		last := len(b.entries) - 1
		b.entries[i] = b.entries[last]
		b.entries[last] = entry{}
		b.entries = b.entries[:last]
		return e.cost
	}
	return 0
}

// Len returns the number of calls.
func (b *Backlog) Len() int { return len(b.entries) }

// TimeToComplete returns how long a further call of the given cost would take, its wait for a
// slot included, if work takes slowness times as long as its cost.
func (b *Backlog) TimeToComplete(now time.Time, slots int, unit time.Duration, slowness float64) time.Duration {
	slots = max(1, slots)
	rate := 0.0
	for i := range b.entries {
		e := &b.entries[i]
		if e.startedAt.IsZero() {
			continue
		}
		spent := time.Duration(float64(now.Sub(e.startedAt)) / slowness)
		left := max(minRemaining, remaining(e.cost, spent))
		rate += 1 / left.Seconds()
	}
	wait := b.waiting.Seconds() / float64(slots)
	if b.running >= slots {
		wait += 1 / rate // the time until one of the running calls ends
	}
	return time.Duration((wait + unit.Seconds()) * slowness * float64(time.Second))
}

// remaining estimates the remaining cost of a call. Costs spread widely, so that what has been
// spent says little about the rest until it exceeds the estimate. Then the rest grows: the
// call is one of the tail.
func remaining(estimate, spent time.Duration) time.Duration { return max(estimate, spent) }
