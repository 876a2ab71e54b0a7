package core

import (
	"slices"
	"time"
)

// Departure records that an instance of the local target has announced that it leaves, or has
// deregistered. Neither this process of the node nor a later one gives it calls.
type Departure struct {
	InstanceID     string `json:"id,omitempty"`    // empty if only the start is known
	StartUnixMilli int64  `json:"start,omitempty"` // in milliseconds since 1970, 0 if unknown
	// UnixMilli is when it deregistered, by the time of day, 0 if it has not or that is unknown.
	UnixMilli int64 `json:"time,omitempty"`
}

const (
	// lateHeartbeatTime is how long after an instance's departure a heartbeat of the same
	// instance ID counts as one that was overtaken, if the time of its start does not tell.
	lateHeartbeatTime = 5 * time.Second
	// clockTolerance bounds how far the times of day of a target and its node differ.
	clockTolerance = 2 * time.Second
	// MaxDepartures is the number of departures that are remembered and stored.
	MaxDepartures = 16
	// departureSaveInterval is the time after which a save that has not been confirmed is
	// requested again.
	departureSaveInterval = 500 * time.Millisecond
	// maxWithheldAcks bounds the acknowledgements that wait for a save.
	maxWithheldAcks = 64
)

// departures holds the departures of the local target's instances, the newest last, and the
// acknowledgements that wait until they are stored.
type departures struct {
	list     []departure
	revision uint64 // increases with each departure that has to be stored, and when all have to be again
	stored   uint64 // revision that the store holds
	savedAt  time.Time
	withheld []withheldAck
}

type departure struct {
	Departure
	learned time.Time
}

// withheldAck is an acknowledgement that may be given once a revision is stored.
type withheldAck struct {
	id       AckID
	revision uint64
}

// includes reports whether a heartbeat is from an instance that has departed.
func (d *departures) includes(now time.Time, h Heartbeat) bool {
	return slices.ContainsFunc(d.list, func(e departure) bool { return e.covers(now, h) })
}

// covers reports whether a heartbeat is from the instance that departed or from an earlier one:
// one that started before it, or one with the same ID that started before the departure.
func (e departure) covers(now time.Time, h Heartbeat) bool {
	if e.StartUnixMilli != 0 && h.StartUnixMilli != 0 && h.StartUnixMilli <= e.StartUnixMilli {
		return true
	}
	if e.InstanceID == "" || e.InstanceID != h.InstanceID {
		return false
	}
	if h.StartUnixMilli != 0 {
		lived := time.Duration(e.UnixMilli-h.StartUnixMilli) * time.Millisecond
		switch {
		case e.UnixMilli == 0 && e.StartUnixMilli != 0, e.UnixMilli != 0 && lived < -clockTolerance:
			return false // started later
		case e.UnixMilli != 0 && lived > clockTolerance:
			return true
		}
	}
	return now.Sub(e.learned) < lateHeartbeatTime
}

// includesStart reports whether the departure of an instance with that start, or of a later one,
// is known.
func (d *departures) includesStart(startUnixMilli int64) bool {
	return slices.ContainsFunc(d.list, func(e departure) bool { return e.StartUnixMilli >= startUnixMilli })
}

// requireSave makes all departures be stored again, as the store may have lost them. The
// acknowledgements that are withheld wait for that.
func (d *departures) requireSave() {
	if len(d.list) == 0 {
		return
	}
	d.revision++
	d.savedAt = time.Time{}
	for i := range d.withheld {
		d.withheld[i].revision = d.revision
	}
}

// add adds a departure, or a later time of one. It reports whether that changes the list.
func (d *departures) add(now time.Time, n Departure) bool {
	for i := range d.list {
		e := &d.list[i]
		if e.InstanceID != n.InstanceID || e.StartUnixMilli != n.StartUnixMilli {
			continue
		}
		if n.UnixMilli <= e.UnixMilli {
			return false
		}
		e.UnixMilli, e.learned = n.UnixMilli, now
		return true
	}
	if len(d.list) >= MaxDepartures {
		d.list = append(d.list[:0], d.list[1:]...)
	}
	d.list = append(d.list, departure{Departure: n, learned: now})
	return true
}

// recordDeparture remembers a departure that this process has been told of. Its
// acknowledgement is withheld until the store holds it: a process that is killed after the
// acknowledgement would otherwise leave its successor without that knowledge.
func (s *State) recordDeparture(now time.Time, n Departure, ack AckID) {
	d := &s.target.departures
	if d.add(now, n) {
		d.revision++
		d.savedAt = time.Time{}
		s.applyDepartures(now)
	}
	if d.stored == d.revision {
		s.acknowledge(ack)
		return
	}
	if len(d.withheld) >= maxWithheldAcks {
		d.withheld = append(d.withheld[:0], d.withheld[1:]...)
	}
	d.withheld = append(d.withheld, withheldAck{ack, d.revision})
	s.saveDepartures(now)
}

// saveDepartures requests that departures be stored which are not. It waits for those of
// earlier processes to be known, as the request replaces them.
func (s *State) saveDepartures(now time.Time) {
	d := &s.target.departures
	if d.stored == d.revision || !s.target.recalled || now.Sub(d.savedAt) < departureSaveInterval {
		return
	}
	d.savedAt = now
	r := &SaveDepartures{Revision: d.revision}
	for _, e := range d.list {
		r.Departures = append(r.Departures, e.Departure)
	}
	s.effects.StoreRequests = append(s.effects.StoreRequests, r)
}

// handleDeparturesSaved gives the acknowledgements that waited for a revision.
func (s *State) handleDeparturesSaved(e *DeparturesSaved) {
	d := &s.target.departures
	d.stored = max(d.stored, min(e.Revision, d.revision))
	waiting := d.withheld[:0]
	for _, a := range d.withheld {
		if a.revision <= d.stored {
			s.acknowledge(a.id)
			continue
		}
		waiting = append(waiting, a)
	}
	d.withheld = waiting
}

// recallDepartures applies the departures that earlier processes of this node have stored.
func (s *State) recallDepartures(now time.Time, list []Departure) {
	for _, n := range list {
		s.recallDeparture(now, n)
	}
}

// recallDeparture applies a departure that an earlier process of this node has stored or
// announced.
func (s *State) recallDeparture(now time.Time, n Departure) {
	t := &s.target
	if !t.heartbeatsExpected || n == (Departure{}) || !t.departures.add(now, n) {
		return
	}
	s.addNotice(Notice{Kind: NoticeDepartureRecalled, Peer: n.InstanceID})
	s.applyDepartures(now)
}

// applyDepartures closes the target if its present instance has departed.
func (s *State) applyDepartures(now time.Time) {
	t := &s.target
	if t.heartbeatReceived && !t.departed && t.departures.includes(now, t.last) {
		t.departed = true
		s.updateTarget(now)
	}
}

// acknowledge acknowledges a message of the local target.
func (s *State) acknowledge(id AckID) {
	if id != 0 {
		s.effects.Acknowledgements = append(s.effects.Acknowledgements, id)
	}
}
