package core

import (
	"slices"
	"time"

	"celeryshelf/core/retry"
)

const (
	// recordCopies is how many other nodes hear of a call under an
	// Idempotency-Key before it runs.
	recordCopies  = 2
	recordTimeout = 200 * time.Millisecond
	handoverBatch = 200
)

// handedOver is the home of records whose own home has left.
var handedOver = retry.Coordinator{Name: "*"}

// consult checks a call's identity at its home and reports whether the call may
// go on now. A first call waits until other nodes hold a copy of its record.
func (s *State) consult(now time.Time, c *call) bool {
	standing, of := s.dedup.Lookup(c.identity)
	switch standing {
	case retry.Answered:
		c.endpoint.CallCanceled()
		s.decide(now, c, Verdict{
			Action: ActionReplay, ReplayOf: CallID(of), UnspentRetries: c.budget.Remaining(),
		})
		s.end(now, c, true)
		return false
	case retry.Running, retry.RecordedRemotely:
		s.duplicate(now, c)
		return false
	case retry.Unseen:
	}
	s.dedup.SetStatus(now, c.identity, retry.Running, uint64(c.id))
	c.copies = s.copy(c)
	c.awaited = c.copies
	if c.awaited == 0 {
		return true
	}
	c.phase, c.began = waitingRecord, now
	s.awaitingAcks = append(s.awaitingAcks, c)
	return false
}

// duplicate refuses a repeat whose first run may have happened.
func (s *State) duplicate(now time.Time, c *call) {
	c.endpoint.CallCanceled()
	c.ran = ExecutedUnknown
	s.refuse(now, c, ReasonDuplicate)
}

// copy sends the record of a call to the next nodes in its key's order.
func (s *State) copy(c *call) int {
	sent := 0
	for _, e := range s.routes.RendezvousOrder(s.self.Service, c.identity.Hash) {
		if e.Local || e.Unreachable || sent == recordCopies {
			continue
		}
		s.send(e.Name, &IdempotencyRecord{Call: c.id, Key: c.identity, Incarnation: s.self.Incarnation})
		sent++
	}
	return sent
}

// recorded takes in that a copy of a record is kept.
func (s *State) recorded(now time.Time, m *IdempotencyRecordAck) {
	c, ok := s.calls[m.Call]
	if !ok || c.phase != waitingRecord {
		return
	}
	if m.Known {
		s.unlist(c)
		s.duplicate(now, c)
		return
	}
	c.awaited--
	if c.awaited > 0 {
		return
	}
	s.unlist(c)
	s.enter(now, c)
}

// overdueRecords refuses the calls whose record nobody would keep, and lets go
// on those with at least one copy.
func (s *State) overdueRecords(now time.Time) {
	for len(s.awaitingAcks) > 0 {
		c := s.awaitingAcks[0]
		if now.Sub(c.began) < recordTimeout {
			return
		}
		s.unlist(c)
		if c.awaited < c.copies && now.Before(c.deadline) {
			s.enter(now, c)
			continue
		}
		s.turnAway(now, c, ReasonNoEndpoint)
	}
}

func (s *State) unlist(c *call) {
	s.awaitingAcks = slices.DeleteFunc(s.awaitingAcks, func(o *call) bool { return o == c })
}

// handOver gives the node's records to those that answer for them next.
func (s *State) handOver() {
	batches := map[string][]retry.IdempotencyKey{}
	for _, id := range s.dedup.Keys() {
		sent := 0
		for _, e := range s.routes.RendezvousOrder(s.self.Service, id.Hash) {
			if e.Local || e.Unreachable || e.Draining || sent == recordCopies {
				continue
			}
			batches[e.Name] = append(batches[e.Name], id)
			sent++
		}
	}
	for _, p := range s.peers.All() {
		for chunk := range slices.Chunk(batches[p.Name], handoverBatch) {
			s.send(p.Name, &Handover{Keys: chunk})
		}
	}
}

// record keeps copies for another home.
func (s *State) record(now time.Time, from string, m *IdempotencyRecord) {
	home := retry.Coordinator{Name: from, Incarnation: m.Incarnation}
	known := s.dedup.RecordRemote(now, m.Key, home)
	s.send(from, &IdempotencyRecordAck{Call: m.Call, Known: known})
}
