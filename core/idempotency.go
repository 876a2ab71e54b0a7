package core

import (
	"slices"
	"time"

	"celeryshelf/core/retry"
)

const (
	// recordCopies is how many other nodes hear of a call under an
	// Idempotency-Key before it runs.
	recordReplicas    = 2
	recordTimeout     = 200 * time.Millisecond
	handoverBatchSize = 200
)

// handedOver is the home of records whose own home has left.
var handoverHome = retry.Coordinator{Name: "*"}

// consult checks a call's identity at its home and reports whether the call may
// go on now. A first call waits until other nodes hold a copy of its record.
func (s *State) admitFirstRun(now time.Time, c *call) bool {
	standing, of := s.dedup.Lookup(c.idempotencyKey)
	switch standing {
	case retry.Answered:
		c.endpoint.CallCanceled()
		s.emitVerdict(now, c, Verdict{
			Action: ActionReplay, ReplayOf: CallID(of), UnspentRetries: c.budget.Remaining(),
		})
		s.removeCall(now, c, true)
		return false
	case retry.Running, retry.RecordedRemotely:
		s.refuseDuplicate(now, c)
		return false
	case retry.Unseen:
	}
	s.dedup.SetStatus(now, c.idempotencyKey, retry.Running, uint64(c.id))
	c.replicasRequested = s.replicateRecord(c)
	c.acksPending = c.replicasRequested
	if c.acksPending == 0 {
		return true
	}
	c.phase, c.attemptStart = phaseWaitingForRecord, now
	s.awaitingAcks = append(s.awaitingAcks, c)
	return false
}

// duplicate refuses a repeat whose first run may have happened.
func (s *State) refuseDuplicate(now time.Time, c *call) {
	c.endpoint.CallCanceled()
	c.executed = ExecutedUnknown
	s.refuse(now, c, ReasonDuplicate)
}

// copy sends the record of a call to the next nodes in its key's order.
func (s *State) replicateRecord(c *call) int {
	sent := 0
	for _, e := range s.routes.RendezvousOrder(s.self.Service, c.idempotencyKey.Hash) {
		if e.Local || e.Unreachable || sent == recordReplicas {
			continue
		}
		s.send(e.Name, &IdempotencyRecord{Call: c.id, Key: c.idempotencyKey, Incarnation: s.self.Incarnation})
		sent++
	}
	return sent
}

// recorded takes in that a copy of a record is kept.
func (s *State) handleRecorded(now time.Time, m *IdempotencyRecordAck) {
	c, ok := s.calls[m.Call]
	if !ok || c.phase != phaseWaitingForRecord {
		return
	}
	if m.Known {
		s.removeRecordWait(c)
		s.refuseDuplicate(now, c)
		return
	}
	c.acksPending--
	if c.acksPending > 0 {
		return
	}
	s.removeRecordWait(c)
	s.enterGate(now, c)
}

// overdueRecords refuses the calls whose record nobody would keep, and lets go
// on those with at least one copy.
func (s *State) expireRecordWaits(now time.Time) {
	for len(s.awaitingAcks) > 0 {
		c := s.awaitingAcks[0]
		if now.Sub(c.attemptStart) < recordTimeout {
			return
		}
		s.removeRecordWait(c)
		if c.acksPending < c.replicasRequested && now.Before(c.deadline) {
			s.enterGate(now, c)
			continue
		}
		s.handleGateRejection(now, c, ReasonNoEndpoint)
	}
}

func (s *State) removeRecordWait(c *call) {
	s.awaitingAcks = slices.DeleteFunc(s.awaitingAcks, func(o *call) bool { return o == c })
}

// handOver gives the node's records to those that answer for them next.
func (s *State) handOverRecords() {
	batches := map[string][]retry.IdempotencyKey{}
	for _, id := range s.dedup.Keys() {
		sent := 0
		for _, e := range s.routes.RendezvousOrder(s.self.Service, id.Hash) {
			if e.Local || e.Unreachable || e.Draining || sent == recordReplicas {
				continue
			}
			batches[e.Name] = append(batches[e.Name], id)
			sent++
		}
	}
	for _, p := range s.peers.All() {
		for chunk := range slices.Chunk(batches[p.Name], handoverBatchSize) {
			s.send(p.Name, &Handover{Keys: chunk})
		}
	}
}

// record keeps copies for another home.
func (s *State) handleRecord(now time.Time, from string, m *IdempotencyRecord) {
	home := retry.Coordinator{Name: from, Incarnation: m.Incarnation}
	known := s.dedup.RecordRemote(now, m.Key, home)
	s.send(from, &IdempotencyRecordAck{Call: m.Call, Known: known})
}
