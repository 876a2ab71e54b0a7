package evacuation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

const (
	// MaxDomains is the number of evacuated domains that a set holds. It is far above the
	// number of domains of a fleet, and bounds the messages that carry the set.
	MaxDomains = 256
	// MaxNameBytes is the longest name of a domain.
	MaxNameBytes = 256
	// maxRevision is a revision that no store reaches. It keeps what another writer has sent
	// from being used as the newest set for good.
	maxRevision = 1 << 62
	// maxAge is the longest time that an evacuation is reported to last.
	maxAge = 10 * 365 * 24 * time.Hour
)

// Domain is an evacuated failure domain.
type Domain struct {
	Name     string        `json:"name"`
	Revision uint64        `json:"rev"`           // of the store at the last write of its key
	Age      time.Duration `json:"age,omitempty"` // since a node first read its key
}

// Set is the set of evacuated domains that the store held at a revision.
type Set struct {
	Revision uint64   `json:"rev"`               // of the store
	Domains  []Domain `json:"domains,omitempty"` // sorted by name
}

// NewSet returns the set of the given domains, each with the revision of the last write of its
// key. Of more than MaxDomains it keeps those that were written first.
func NewSet(revision uint64, domains map[string]uint64) Set {
	s := Set{Revision: revision}
	for name, written := range domains {
		s.Domains = append(s.Domains, Domain{Name: name, Revision: written})
	}
	if len(s.Domains) > MaxDomains {
		slices.SortFunc(s.Domains, func(a, b Domain) int {
			return cmp.Or(cmp.Compare(a.Revision, b.Revision), strings.Compare(a.Name, b.Name))
		})
		s.Domains = s.Domains[:MaxDomains]
	}
	slices.SortFunc(s.Domains, func(a, b Domain) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// Includes reports whether the named domain is evacuated.
func (s Set) Includes(name string) bool {
	_, found := s.find(name)
	return found
}

func (s Set) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.Domains, name, func(d Domain, n string) int { return strings.Compare(d.Name, n) })
}

// Validate returns an error if no node of a fleet can have made the set.
func (s Set) Validate() error {
	if s.Revision >= maxRevision {
		return fmt.Errorf("evacuations: revision %d is out of range", s.Revision)
	}
	if len(s.Domains) > MaxDomains {
		return fmt.Errorf("evacuations: %d domains, want at most %d", len(s.Domains), MaxDomains)
	}
	for i, d := range s.Domains {
		if err := ValidateName(d.Name); err != nil {
			return fmt.Errorf("evacuations: %w", err)
		}
		if i > 0 && s.Domains[i-1].Name >= d.Name {
			return fmt.Errorf("evacuations: domain %q is out of order", d.Name)
		}
		if d.Age < 0 || d.Age > maxAge {
			return fmt.Errorf("evacuations: domain %q has an age of %s", d.Name, d.Age)
		}
	}
	return nil
}

// ValidateName returns an error if a domain cannot have the name.
func ValidateName(name string) error {
	switch {
	case name == "" || len(name) > MaxNameBytes:
		return fmt.Errorf("name of a domain has %d bytes, want 1 to %d", len(name), MaxNameBytes)
	case !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl):
		return fmt.Errorf("name of a domain %q has characters that are not printable", name)
	}
	return nil
}
