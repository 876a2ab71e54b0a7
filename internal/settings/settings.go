package settings

import (
	"fmt"
	"net/netip"
	"time"

	"celeryshelf/core/manifest"
)

// Settings configures a standalone node.
type Settings struct {
	Name          string            `json:"name"`
	Service       string            `json:"service"`
	Domain        string            `json:"domain"`
	Region        string            `json:"region,omitempty"`
	Listen        Listen            `json:"listen"`
	Target        netip.AddrPort    `json:"target"`
	Store         Store             `json:"store"`
	SeedAddresses []netip.AddrPort  `json:"peers,omitempty"` // control addresses to join through while the store is unreachable
	Log           Log               `json:"log"`
	Trace         Trace             `json:"trace"`
	DrainGrace    manifest.Duration `json:"grace"` // from the start of draining until the listeners for callers close
}

// Listen holds the addresses that a node listens on.
type Listen struct {
	Caller   netip.AddrPort `json:"caller"`   // HTTP for callers
	Outgoing netip.AddrPort `json:"outgoing"` // HTTP for the local target's own calls
	Node     netip.AddrPort `json:"node"`     // calls from other nodes
	Control  netip.AddrPort `json:"control"`  // control messages from other nodes
	Operator netip.AddrPort `json:"operator"` // HTTP for operators
}

// Store configures the connection to the key-value store.
type Store struct {
	Addresses []netip.AddrPort  `json:"addresses"`
	Prefix    string            `json:"prefix"`
	LeaseTTL  manifest.Duration `json:"lease"`
}

// Log configures logging.
type Log struct {
	Level string `json:"level"`
}

// Values of Trace.Exporter.
const (
	TraceNone = "none"
	TraceLog  = "log"
	TraceFile = "file"
	TraceOTLP = "otlp"
)

// Trace configures the sampling and export of spans.
type Trace struct {
	Exporter    string         `json:"exporter"`
	File        string         `json:"file,omitempty"`
	Endpoint    netip.AddrPort `json:"endpoint,omitzero"`
	SampleRatio float64        `json:"ratio"` // fraction of root calls that are traced
}

// Defaults returns the defaults of the optional settings. Required settings are left zero.
func Defaults() Settings {
	return Settings{
		Store:      Store{Prefix: "celeryshelf/", LeaseTTL: manifest.Duration{Duration: time.Minute}},
		Log:        Log{Level: "info"},
		Trace:      Trace{Exporter: TraceNone, SampleRatio: 1},
		DrainGrace: manifest.Duration{Duration: 2 * time.Second},
	}
}

const minLeaseTTL = 2 * time.Second

// Validate returns the violations of the rules that the JSON schema does not express.
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
			add(l.path, "must not be an unspecified address: other nodes connect to it")
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
