package route

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// subsetSize bounds how many endpoints of a service a node normally uses, and thereby
// the number of connections that a target's node has to keep.
const subsetSize = 24

// Table holds the endpoints of every service.
type Table struct {
	self     string
	domain   string
	services map[string]*serviceEndpoints
}

type serviceEndpoints struct {
	all    []*Endpoint
	subset []*Endpoint // the endpoints with the highest rendezvous hash for this node
	choice []*Endpoint // see updateChoice
}

// NewTable returns an empty table for the node with the given name and domain.
func NewTable(self, domain string) *Table {
	return &Table{self: self, domain: domain, services: map[string]*serviceEndpoints{}}
}

// Put adds an endpoint, or updates the address and state of a known one and keeps its
// measurements. A restarted node or target loses its latency and backoff and goes through
// slow start again.
// A local endpoint and the first endpoint of a service start without slow start.
func (t *Table) Put(now time.Time, e Endpoint, restarted bool) {
	s, ok := t.services[e.Service]
	if !ok {
		s = &serviceEndpoints{}
		t.services[e.Service] = s
	}
	for _, existing := range s.all {
		if existing.Name != e.Name {
			continue
		}
		moved := existing.Domain != e.Domain
		existing.NodeAddr, existing.Domain = e.NodeAddr, e.Domain
		existing.Draining, existing.Unreachable = e.Draining, e.Unreachable
		existing.Slots = e.Slots
		existing.updateCold(now, &e, s)
		if restarted || existing.TargetStartMilli != e.TargetStartMilli {
			existing.TargetStartMilli = e.TargetStartMilli
			existing.latency, existing.failures = 0, 0
			existing.slowStartAt, existing.pausedUntil = now, time.Time{}
			existing.published = published{}
		}
		if moved {
			t.updateSubset(s)
		}
		return
	}
	added := e
	added.Revision = e.Revision - 1 // lets updateCold apply the announcement
	added.updateCold(now, &e, s)
	added.slowStartAt = now
	if len(s.all) == 0 || e.Local {
		added.slowStartAt = now.Add(-slowStartDuration)
	}
	s.all = append(s.all, &added)
	t.updateSubset(s)
}

// Remove removes the endpoint with the given name.
func (t *Table) Remove(name string) {
	for _, s := range t.services {
		before := len(s.all)
		s.all = slices.DeleteFunc(s.all, func(e *Endpoint) bool { return e.Name == name })
		if len(s.all) != before {
			t.updateSubset(s)
		}
	}
}

func (t *Table) updateSubset(s *serviceEndpoints) {
	s.subset = append(s.subset[:0], s.all...)
	slices.SortFunc(s.subset, func(a, b *Endpoint) int {
		return compareDescending(rendezvousHash(t.self, a.Name, 0), rendezvousHash(t.self, b.Name, 0))
	})
	t.updateChoice(s)
	if len(s.subset) > subsetSize {
		s.subset = s.subset[:subsetSize]
	}
}

// Pick chooses an endpoint of a service that is not excluded for a call: the cheapest of
// two chosen by the seed and one of the node's own domain. It prefers ready endpoints of
// the subset, then any ready endpoint, then any that is not draining, as an endpoint
// may be wrongly considered unreachable. A cold endpoint is ready only for its share of the
// calls, as long as there are others. It returns nil if there is none.
func (t *Table) Pick(now time.Time, service string, seed uint64, excluded []string) *Endpoint {
	s, ok := t.services[service]
	if !ok {
		return nil
	}
	ready := func(e *Endpoint) bool { return !slices.Contains(excluded, e.Name) && e.ready(now) }
	inShare := func(e *Endpoint) bool { return ready(e) && (e.coldUntil.IsZero() || e.inColdShare(now, seed)) }
	if e := t.pickFrom(now, s.subset, seed, inShare); e != nil {
		return e
	}
	if e := t.pickFrom(now, s.all, seed, inShare); e != nil {
		return e
	}
	if e := t.pickFrom(now, s.subset, seed, ready); e != nil {
		return e
	}
	if e := t.pickFrom(now, s.all, seed, ready); e != nil {
		return e
	}
	return t.pickFrom(now, s.all, seed, func(e *Endpoint) bool { return !slices.Contains(excluded, e.Name) && !e.Draining })
}

// crossDomainCostFactor multiplies the cost of endpoints in other domains: traffic
// between domains is billed and takes longer.
const crossDomainCostFactor = 1.25

func (t *Table) cost(now time.Time, e *Endpoint) float64 {
	if e.Domain != t.domain {
		return crossDomainCostFactor * e.cost(now)
	}
	return e.cost(now)
}

// pickFrom returns the cheapest of two usable endpoints chosen by the seed and one of the
// node's own domain, or nil if no endpoint is usable.
func (t *Table) pickFrom(now time.Time, list []*Endpoint, seed uint64, usable func(*Endpoint) bool) *Endpoint {
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
	return t.cheaper(now, best, t.pickOwnDomain(list, seed, usable))
}

// pickOwnDomain chooses a usable endpoint of the node's own domain by the seed. It returns
// nil if there is none.
func (t *Table) pickOwnDomain(list []*Endpoint, seed uint64, usable func(*Endpoint) bool) *Endpoint {
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

// RendezvousOrder returns the endpoints of a service by descending rendezvous hash for the
// given hash. All nodes with the same members return the same order, which includes
// unreachable and draining endpoints.
func (t *Table) RendezvousOrder(service string, hash uint64) []*Endpoint {
	s, ok := t.services[service]
	if !ok {
		return nil
	}
	list := slices.Clone(s.all)
	slices.SortFunc(list, func(a, b *Endpoint) int {
		return compareDescending(rendezvousHash("", a.Name, hash), rendezvousHash("", b.Name, hash))
	})
	return list
}

// Find returns the endpoint of a service with the given name, or nil.
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

// rendezvousHash returns the weight of the named endpoint in the order for a hash. The order
// differs from node to node, or is the same on all nodes if node is empty.
func rendezvousHash(node, name string, hash uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], hash)
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(node)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

func compareDescending(a, b uint64) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	default:
		return 0
	}
}
