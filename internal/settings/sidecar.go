package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"celeryshelf/core/manifest"
)

// maxSidecarBytes bounds a settings file, in bytes.
const maxSidecarBytes = 64 << 10

// Sidecar describes a node that serves callers and its target through a front end
// of the platform's. The file holds one JSON object with exactly these fields.
type Sidecar struct {
	Name    string        `json:"name"`
	Service string        `json:"service"` // of the local target
	Domain  string        `json:"domain"`
	Region  string        `json:"region"`
	Listen  SidecarListen `json:"listen"`
	// Advertise is where other nodes reach this one, if not where it listens.
	Advertise SidecarAdvertise `json:"announce,omitzero"`
	Target    netip.AddrPort   `json:"target"`
	Store     SidecarStore     `json:"store"`
	// HeartbeatInterval is how often the target says that it is there.
	HeartbeatInterval manifest.Duration `json:"heartbeat"`
	// MaxRevocationDelay is the time within which a withdrawn key must stop working.
	MaxRevocationDelay manifest.Duration `json:"revoke"`
	// DrainTimeout is the time within which a leaving target must get no more work.
	DrainTimeout manifest.Duration `json:"drain"`
	// StopTimeout is the time between the request to stop and the kill.
	StopTimeout manifest.Duration `json:"limit"`
	MemoryMiB   int               `json:"memory"` // bytes that the process may use, in MiB
	Retry       SidecarRetry      `json:"retry"`
	Log         Log               `json:"log"`
}

// SidecarListen holds the addresses of a node's sides.
type SidecarListen struct {
	Caller    netip.AddrPort `json:"caller"` // callers and the target
	Node      netip.AddrPort `json:"node"`
	Control   netip.AddrPort `json:"control"`
	Heartbeat netip.AddrPort `json:"heartbeat"`
	Ready     netip.AddrPort `json:"ready"`
	Metrics   netip.AddrPort `json:"metrics"`
}

// SidecarAdvertise holds the addresses that other nodes use, each of them optional.
type SidecarAdvertise struct {
	Node    netip.AddrPort `json:"node,omitzero"`
	Control netip.AddrPort `json:"control,omitzero"`
}

// AdvertisedAddresses returns where other nodes reach the sides for calls and for control messages.
func (s *Sidecar) AdvertisedAddresses() (node, control netip.AddrPort) {
	node, control = s.Listen.Node, s.Listen.Control
	if s.Advertise.Node.IsValid() {
		node = s.Advertise.Node
	}
	if s.Advertise.Control.IsValid() {
		control = s.Advertise.Control
	}
	return node, control
}

// SidecarStore says where the platform's key-value service is.
type SidecarStore struct {
	Address  netip.AddrPort    `json:"address"`
	Prefix   string            `json:"prefix"`
	LeaseTTL manifest.Duration `json:"lease"`
}

// SidecarRetry bounds what a service may get beyond the first arrival of each call.
type SidecarRetry struct {
	Ratio  float64           `json:"ratio"`  // of the calls for the service
	Window manifest.Duration `json:"window"` // in which it holds
	Slack  float64           `json:"slack"`  // arrivals that are free in a window
}

// ReadSidecar reads and checks a settings file and names every fault.
func ReadSidecar(file string) (*Sidecar, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, maxSidecarBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return DecodeSidecar(file, text)
}

// DecodeSidecar decodes settings strictly. The file's name is for errors only.
func DecodeSidecar(file string, text []byte) (*Sidecar, error) {
	if len(text) > maxSidecarBytes {
		return nil, &manifest.ValidationError{File: file, Violations: []manifest.Violation{
			{Path: "/", Rule: fmt.Sprintf("must have at most %d bytes", maxSidecarBytes)},
		}}
	}
	s := Sidecar{Log: Log{Level: "info"}}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return nil, &manifest.ValidationError{File: file, Violations: []manifest.Violation{{Path: fieldPath(err), Rule: err.Error()}}}
	}
	if violations := s.Validate(); len(violations) > 0 {
		return nil, &manifest.ValidationError{File: file, Violations: violations}
	}
	return &s, nil
}

// SidecarStatic holds the settings that a running node cannot change.
type SidecarStatic struct {
	Name, Service, Domain, Region string
	Listen                        SidecarListen
	Advertise                     SidecarAdvertise
	Target                        netip.AddrPort
	Store                         SidecarStore
	MemoryMiB                     int
}

// Static returns the settings that a running node cannot change.
func (s *Sidecar) Static() SidecarStatic {
	return SidecarStatic{
		Name: s.Name, Service: s.Service, Domain: s.Domain, Region: s.Region,
		Listen: s.Listen, Advertise: s.Advertise, Target: s.Target, Store: s.Store, MemoryMiB: s.MemoryMiB,
	}
}

// fieldPath returns where decoding failed, as far as the error says so.
func fieldPath(err error) string {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return "/" + kind.Field
	}
	return "/"
}

// Validate returns every broken rule.
func (s *Sidecar) Validate() []manifest.Violation {
	var violations []manifest.Violation
	add := func(path, rule string, args ...any) {
		violations = append(violations, manifest.Violation{Path: path, Rule: fmt.Sprintf(rule, args...)})
	}
	for _, f := range []struct{ path, value string }{
		{"/name", s.Name}, {"/service", s.Service}, {"/domain", s.Domain}, {"/store/prefix", s.Store.Prefix},
	} {
		if f.value == "" {
			add(f.path, "must not be empty")
		}
	}
	for _, f := range []struct {
		path  string
		value netip.AddrPort
	}{
		{"/listen/caller", s.Listen.Caller}, {"/listen/node", s.Listen.Node},
		{"/listen/control", s.Listen.Control}, {"/listen/heartbeat", s.Listen.Heartbeat},
		{"/listen/ready", s.Listen.Ready}, {"/listen/metrics", s.Listen.Metrics},
		{"/target", s.Target}, {"/store/address", s.Store.Address},
	} {
		if !f.value.IsValid() || f.value.Addr().IsUnspecified() {
			add(f.path, "must be an IP address and a port that others can reach")
		}
	}
	for _, f := range []struct {
		path  string
		value time.Duration
	}{
		{"/store/lease", s.Store.LeaseTTL.Duration}, {"/heartbeat", s.HeartbeatInterval.Duration},
		{"/revoke", s.MaxRevocationDelay.Duration}, {"/drain", s.DrainTimeout.Duration}, {"/limit", s.StopTimeout.Duration},
		{"/retry/window", s.Retry.Window.Duration},
	} {
		if f.value <= 0 {
			add(f.path, "must be greater than 0")
		}
	}
	if s.MemoryMiB <= 0 {
		add("/memory", "must be greater than 0")
	}
	if s.Retry.Ratio < 0 || s.Retry.Slack < 0 {
		add("/retry", "ratio and slack must not be less than 0")
	}
	return violations
}
