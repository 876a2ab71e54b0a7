package core

import (
	"fmt"
	"time"
)

// maxEraStep bounds how far the era that a peer names may be ahead of the known one, so that an
// absurd value does not hide the next return of the store.
const maxEraStep = 1 << 16

// storeEra holds what this node knows of the era of the store's content. The store starts an era
// when it comes back from an older copy of its content. What it confirmed in an earlier era may
// be gone.
type storeEra struct {
	own   uint64 // of the store's answers to this node, 0 before the first one that names it
	heard uint64 // latest that a peer has named
}

// latest returns the latest known era, 0 if none is known.
func (e storeEra) latest() uint64 { return max(e.own, e.heard) }

// handleStoreEra applies the era that the store's answers to this node name.
func (s *State) handleStoreEra(e *StoreEra) {
	before := s.storeEra.own
	s.storeEra.own = e.Era
	if before != 0 {
		s.repeatStored(before, e.Era)
	}
}

// hearOfStoreEra applies the era that a peer names. It is no more than a reason to write again:
// what the answers to this node show is kept apart from it.
func (s *State) hearOfStoreEra(era uint64) {
	known := s.storeEra.latest()
	if s.storeEra.own == 0 || era <= known || era-known > maxEraStep {
		return
	}
	s.storeEra.heard = era
	s.repeatStored(known, era)
}

// repeatStored requests again what the store confirmed in an earlier era. The session does so
// for what it holds under leases.
func (s *State) repeatStored(before, era uint64) {
	s.addNotice(Notice{Kind: NoticeStoreEra, Detail: fmt.Sprintf("from %d to %d, %d departures to be stored again", before, era, len(s.target.departures.list))})
	s.target.departures.requireSave()
	s.planning.storedCosts = nil
}

// recallFromPeer applies a departure that a peer remembers of an earlier process of this node
// and that is missing in the store. It has to be stored again, as that process can no longer do
// it. Before the store has been read the statement is ignored; peers repeat it.
func (s *State) recallFromPeer(now time.Time, startUnixMilli int64) {
	t := &s.target
	if startUnixMilli <= 0 || !t.recalled || t.departures.includesStart(startUnixMilli) {
		return
	}
	s.recallDeparture(now, Departure{StartUnixMilli: startUnixMilli})
	t.departures.requireSave()
}
