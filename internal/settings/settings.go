package settings

import (
	"fmt"
	"net/netip"
	"time"

	"celeryshelf/core/manifest"
)

// Settings describe one node.
type Settings struct {
	Name          string            `json:"name"`
	Service       string            `json:"service"`
	Domain        string            `json:"domain"`
	Region        string            `json:"region,omitempty"`
	Listen        Listen            `json:"listen"`
	Target        netip.AddrPort    `json:"target"`
	Store         Store             `json:"store"`
	SeedAddresses []netip.AddrPort  `json:"peers,omitempty"`
	Log           Log               `json:"log"`
	Trace         Trace             `json:"trace"`
	DrainGrace    manifest.Duration `json:"grace"`
}

// Listen holds the addresses of a node's sides.
type Listen struct {
	Caller   netip.AddrPort `json:"caller"`
	Outgoing netip.AddrPort `json:"outgoing"`
	Node     netip.AddrPort `json:"node"`
	Control  netip.AddrPort `json:"control"`
	Operator netip.AddrPort `json:"operator"`
}

// Store says where the platform's key-value service is.
type Store struct {
	Addresses []netip.AddrPort  `json:"addresses"`
	Prefix    string            `json:"prefix"`
	LeaseTTL  manifest.Duration `json:"lease"`
}

// Log says what is logged.
type Log struct {
	Level string `json:"level"`
}

// Exporters of traces.
const (
	TraceNone = "none"
	TraceLog  = "log"
	TraceFile = "file"
	TraceOTLP = "otlp"
)

// Trace says where spans go.
type Trace struct {
	Exporter    string         `json:"exporter"`
	File        string         `json:"file,omitempty"`
	Endpoint    netip.AddrPort `json:"endpoint,omitzero"`
	SampleRatio float64        `json:"ratio"`
}

// Defaults returns settings with every default filled in.
func Defaults() Settings {
	return Settings{
		Store:      Store{Prefix: "celeryshelf/", LeaseTTL: manifest.Duration{Duration: time.Minute}},
		Log:        Log{Level: "info"},
		Trace:      Trace{Exporter: TraceNone, SampleRatio: 1},
		DrainGrace: manifest.Duration{Duration: 2 * time.Second},
	}
}

const minLeaseTTL = 2 * time.Second

// Validate returns every broken rule that the schema does not state.
func (s *Settings) Validate() []manifest.Violation {
	var violations []manifest.Violation
	add := func(path, rule string, args ...any) {
		violations = append(violations, manifest.Violation{Path: path, Rule: fmt.Sprintf(rule, args...)})
	}
	if !s.Listen.Outgoing.Addr().IsLoopback() {
		add("/listen/outgoing", "must be a loopback address")
	}
	for _, l := range []struct {
		path    string
		address netip.AddrPort
	}{{"/listen/node", s.Listen.Node}, {"/listen/control", s.Listen.Control}} {
		if l.address.Addr().IsUnspecified() {
			add(l.path, "must be an address that other nodes can reach")
		}
	}
	if s.Store.LeaseTTL.Duration < minLeaseTTL || s.Store.LeaseTTL.Duration%time.Second != 0 {
		add("/store/lease", "must be whole seconds and at least %s", minLeaseTTL)
	}
	if s.Trace.Exporter == TraceFile && s.Trace.File == "" {
		add("/trace/file", "must be set for the file exporter")
	}
	if s.Trace.Exporter == TraceOTLP && !s.Trace.Endpoint.IsValid() {
		add("/trace/endpoint", "must be set for the otlp exporter")
	}
	return violations
}
