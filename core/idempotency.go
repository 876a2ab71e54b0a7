package core

import (
	"slices"
	"time"

	"celeryshelf/core/retry"
)

const (
	// recordReplicas is the number of other nodes that are sent the record of a call
	// with an Idempotency-Key before it runs.
	recordReplicas = 2
	// recordAckTimeout is how long a call waits for the acknowledgments of its record.
	recordAckTimeout  = 200 * time.Millisecond
	handoverBatchSize = 200 // keys in one Handover
)

// handoverCoordinator replaces the coordinator of records that a draining node has handed
// over. It equals no node, so a record of the same key from any node is reported as known.
var handoverCoordinator = retry.Coordinator{Name: "*"}

// admitFirstRun looks up a call's idempotency key on the node that coordinates it and
// reports whether the call may proceed now. A first call waits until other nodes hold a
// copy of its record.
func (s *State) admitFirstRun(now time.Time, c *call) bool {
	status, original := s.dedup.Lookup(c.idempotencyKey)
	switch status {
	case retry.Answered:
		c.endpoint.CallCanceled()
		s.emitVerdict(now, c, Verdict{
			Action: ActionReplay, ReplayOf: CallID(original), UnspentRetries: c.budget.Remaining(),
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
	c.phase, c.attemptStart = phaseWaitingForAcks, now
	s.awaitingAcks = append(s.awaitingAcks, c)
	return false
}

// refuseDuplicate refuses a repeat of a call that may have run.
func (s *State) refuseDuplicate(now time.Time, c *call) {
	c.endpoint.CallCanceled()
	c.executed = ExecutedUnknown
	s.refuse(now, c, ReasonDuplicate)
}

// replicateRecord sends the record of a call to the next nodes in its key's rendezvous
// order and returns their number.
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

// handleRecordAck handles a peer's acknowledgment of a record.
func (s *State) handleRecordAck(now time.Time, m *IdempotencyRecordAck) {
	c, ok := s.calls[m.Call]
	if !ok || c.phase != phaseWaitingForAcks {
		return
	}
	if m.Known {
		s.removeAckWait(c)
		s.refuseDuplicate(now, c)
		return
	}
	c.acksPending--
	if c.acksPending > 0 {
		return
	}
	s.removeAckWait(c)
	s.enterGate(now, c)
}

// expireAckWaits ends waits for acknowledgments that have timed out. Calls with
// at least one acknowledgment proceed, the others are rejected.
func (s *State) expireAckWaits(now time.Time) {
	for len(s.awaitingAcks) > 0 {
		c := s.awaitingAcks[0]
		if now.Sub(c.attemptStart) < recordAckTimeout {
			return
		}
		s.removeAckWait(c)
		if c.acksPending < c.replicasRequested && now.Before(c.deadline) {
			s.enterGate(now, c)
			continue
		}
		s.handleGateRejection(now, c, ReasonNoEndpoint)
	}
}

func (s *State) removeAckWait(c *call) {
	s.awaitingAcks = slices.DeleteFunc(s.awaitingAcks, func(o *call) bool { return o == c })
}

// handOverRecords sends each of the node's records to the next nodes in its key's
// rendezvous order, which coordinate the key after this node has left.
func (s *State) handOverRecords() {
	batches := map[string][]retry.IdempotencyKey{}
	for _, key := range s.dedup.Keys() {
		sent := 0
		for _, e := range s.routes.RendezvousOrder(s.self.Service, key.Hash) {
			if e.Local || e.Unreachable || e.Draining || sent == recordReplicas {
				continue
			}
			batches[e.Name] = append(batches[e.Name], key)
			sent++
		}
	}
	for _, p := range s.peers.All() {
		for chunk := range slices.Chunk(batches[p.Name], handoverBatchSize) {
			s.send(p.Name, &Handover{Keys: chunk})
		}
	}
}

// handleRecord stores a copy of a record for its coordinator.
func (s *State) handleRecord(now time.Time, from string, m *IdempotencyRecord) {
	coordinator := retry.Coordinator{Name: from, Incarnation: m.Incarnation}
	known := s.dedup.RecordRemote(now, m.Key, coordinator)
	s.send(from, &IdempotencyRecordAck{Call: m.Call, Known: known})
}
