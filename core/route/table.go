package route

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// subsetSize bounds how many endpoints of a service one node keeps in use, and
// so the connections that a target's node must hold.
const subsetSize = 24

// Table holds the endpoints of every service.
type Table struct {
	self     string
	domain   string
	services map[string]*service
}

type service struct {
	all    []*Endpoint
	subset []*Endpoint // rendezvous choice of this node
}

// NewTable returns an empty table for the node of the given name and domain.
func NewTable(self, domain string) *Table {
	return &Table{self: self, domain: domain, services: map[string]*service{}}
}

// Put adds an endpoint, or updates the address and state of a known one while
// keeping what was learned of it. A replaced endpoint starts slowly again.
func (t *Table) Put(now time.Time, e Endpoint, replaced bool) {
	s, ok := t.services[e.Service]
	if !ok {
		s = &service{}
		t.services[e.Service] = s
	}
	for _, known := range s.all {
		if known.Name != e.Name {
			continue
		}
		known.NodeAddr, known.Domain = e.NodeAddr, e.Domain
		known.Draining, known.Unreachable = e.Draining, e.Unreachable
		known.Slots = e.Slots
		if replaced || known.TargetStartMilli != e.TargetStartMilli {
			known.TargetStartMilli = e.TargetStartMilli
			known.latency, known.failures = 0, 0
			known.since, known.until = now, time.Time{}
		}
		return
	}
	fresh := e
	fresh.since = now
	if len(s.all) == 0 || e.Local {
		fresh.since = now.Add(-slowStart)
	}
	s.all = append(s.all, &fresh)
	t.resubset(s)
}

// Remove removes the endpoint of that name.
func (t *Table) Remove(name string) {
	for _, s := range t.services {
		before := len(s.all)
		s.all = slices.DeleteFunc(s.all, func(e *Endpoint) bool { return e.Name == name })
		if len(s.all) != before {
			t.resubset(s)
		}
	}
}

func (t *Table) resubset(s *service) {
	s.subset = append(s.subset[:0], s.all...)
	slices.SortFunc(s.subset, func(a, b *Endpoint) int {
		return compareHash(rendezvous(t.self, a.Name, 0), rendezvous(t.self, b.Name, 0))
	})
	if len(s.subset) > subsetSize {
		s.subset = s.subset[:subsetSize]
	}
}

// Pick chooses an endpoint of a service for a call: the cheapest of two drawn by
// the seed and one of the node's own domain, leaving out the one named. When no endpoint is known to be well, one
// that is only believed to be ill is tried. It returns nil when all are draining.
func (t *Table) Pick(now time.Time, service string, seed uint64, without string) *Endpoint {
	s, ok := t.services[service]
	if !ok {
		return nil
	}
	ready := func(e *Endpoint) bool { return e.Name != without && e.ready(now) }
	if e := t.choose(now, s.subset, seed, ready); e != nil {
		return e
	}
	if e := t.choose(now, s.all, seed, ready); e != nil {
		return e
	}
	return t.choose(now, s.all, seed, func(e *Endpoint) bool { return e.Name != without && !e.Draining })
}

// awayCost is how much costlier an endpoint of another domain may look than it is:
// bytes between domains are paid for, and take longer.
const awayCost = 1.25

func (t *Table) cost(now time.Time, e *Endpoint) float64 {
	if e.Domain != t.domain {
		return awayCost * e.cost(now)
	}
	return e.cost(now)
}

func (t *Table) choose(now time.Time, list []*Endpoint, seed uint64, usable func(*Endpoint) bool) *Endpoint {
	n := 0
	for _, e := range list {
		if usable(e) {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	i := int(seed % uint64(n))
	first := nth(list, i, usable)
	if n == 1 {
		return first
	}
	step := 1 + int((seed>>32)%uint64(n-1))
	best := t.cheaper(now, first, nth(list, (i+step)%n, usable))
	return t.cheaper(now, best, t.near(list, seed, usable))
}

// near draws an endpoint of the node's own domain, or returns nil.
func (t *Table) near(list []*Endpoint, seed uint64, usable func(*Endpoint) bool) *Endpoint {
	own := func(e *Endpoint) bool { return e.Domain == t.domain && usable(e) }
	n := 0
	for _, e := range list {
		if own(e) {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	return nth(list, int((seed>>16)%uint64(n)), own)
}

func (t *Table) cheaper(now time.Time, a, b *Endpoint) *Endpoint {
	if b != nil && t.cost(now, b) < t.cost(now, a) {
		return b
	}
	return a
}

func nth(list []*Endpoint, n int, usable func(*Endpoint) bool) *Endpoint {
	for _, e := range list {
		if !usable(e) {
			continue
		}
		if n == 0 {
			return e
		}
		n--
	}
	return nil
}

// RendezvousOrder returns the endpoints of a service in the order in which they answer
// for a hash. Every node with the same members returns the same order; silent
// and draining endpoints keep their place.
func (t *Table) RendezvousOrder(service string, hash uint64) []*Endpoint {
	s, ok := t.services[service]
	if !ok {
		return nil
	}
	list := slices.Clone(s.all)
	slices.SortFunc(list, func(a, b *Endpoint) int {
		return compareHash(rendezvous("", a.Name, hash), rendezvous("", b.Name, hash))
	})
	return list
}

// Find returns the endpoint of that name in a service, or nil.
func (t *Table) Find(service, name string) *Endpoint {
	s, ok := t.services[service]
	if !ok {
		return nil
	}
	for _, e := range s.all {
		if e.Name == name {
			return e
		}
	}
	return nil
}

func rendezvous(chooser, name string, hash uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], hash)
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(chooser)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// compareHash orders the highest hash first.
func compareHash(a, b uint64) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	default:
		return 0
	}
}
