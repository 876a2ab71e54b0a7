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
	"celeryshelf/io/http1"
)

// maxSidecarBytes is the maximum size of a settings file.
const maxSidecarBytes = 64 << 10

// Sidecar configures a node that serves callers and its target through the platform's
// front end. The settings file is a JSON object; unknown fields are rejected.
type Sidecar struct {
	Name    string        `json:"name"`
	Service string        `json:"service"` // of the local target
	Domain  string        `json:"domain"`
	Region  string        `json:"region"`
	Listen  SidecarListen `json:"listen"`
	// Advertise overrides the listen addresses in what the node announces to others.
	Advertise SidecarAdvertise `json:"announce,omitzero"`
	Target    netip.AddrPort   `json:"target"`
	Store     SidecarStore     `json:"store"`
	// HeartbeatInterval is the interval at which the target sends heartbeats.
	HeartbeatInterval manifest.Duration `json:"heartbeat"`
	// MaxRevocationDelay is the time within which a revoked API key must be rejected.
	MaxRevocationDelay manifest.Duration `json:"revoke"`
	// DrainTimeout is the time within which a draining target must stop receiving calls.
	DrainTimeout manifest.Duration `json:"drain"`
	// Evacuation is the time within which the targets of an evacuated domain must stop
	// receiving calls, 0 if domains cannot be evacuated.
	Evacuation manifest.Duration `json:"evacuation,omitzero"`
	// Placement is how endpoints are chosen: PlaceByLatency or PlaceByCompletion.
	Placement string `json:"placement,omitzero"`
	// StopTimeout is the time from the request to stop until the process is killed.
	StopTimeout manifest.Duration `json:"limit"`
	MemoryMiB   int               `json:"memory"` // limit on the memory of the process
	// Descriptors is the limit on open files and sockets of the process.
	Descriptors int `json:"descriptors,omitzero"`
	// MaxHeadBytes limits the head of a response of the target, in bytes.
	MaxHeadBytes int          `json:"head,omitzero"`
	Retry        SidecarRetry `json:"retry"`
	// Warmup bounds the calls that a cold target receives. Without it, none are held back.
	Warmup *SidecarWarmup `json:"warmup,omitempty"`
	Log    Log            `json:"log"`
}

// Values of the setting Placement.
const (
	PlaceByLatency    = "latency"    // by measured latency and reported load, the default
	PlaceByCompletion = "completion" // by expected completion, where targets report their load
)

// Defaults and least values of settings that may be left out.
const (
	defaultDescriptors = 4096
	minDescriptors     = 256
	minHeadBytes       = 1 << 10
)

// SidecarListen holds the addresses that a node listens on.
type SidecarListen struct {
	Caller    netip.AddrPort `json:"caller"` // callers and the target
	Node      netip.AddrPort `json:"node"`
	Control   netip.AddrPort `json:"control"`
	Heartbeat netip.AddrPort `json:"heartbeat"`
	Ready     netip.AddrPort `json:"ready"`
	Metrics   netip.AddrPort `json:"metrics"`
}

// SidecarAdvertise holds the addresses at which other nodes connect to this one. An unset
// address defaults to the listen address.
type SidecarAdvertise struct {
	Node    netip.AddrPort `json:"node,omitzero"`
	Control netip.AddrPort `json:"control,omitzero"`
}

// AdvertisedAddresses returns the addresses at which other nodes send calls and control
// messages to this one.
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

// SidecarStore configures the connection to the platform's key-value store.
type SidecarStore struct {
	Address  netip.AddrPort    `json:"address"`
	Prefix   string            `json:"prefix"`
	LeaseTTL manifest.Duration `json:"lease"`
}

// SidecarRetry limits the extra arrivals at a service, that is, those after the first
// arrival of each call. Within a window they are limited to Ratio times the calls plus
// Slack.
type SidecarRetry struct {
	Ratio  float64           `json:"ratio"`  // extra arrivals per call for the service
	Window manifest.Duration `json:"window"` // period that the limit applies to
	Slack  float64           `json:"slack"`  // extra arrivals per window that are allowed in addition
}

// SidecarWarmup bounds the calls that a cold target receives in any second: Overshoot times
// the rate in the manifest, plus Slack.
type SidecarWarmup struct {
	Overshoot float64 `json:"overshoot"` // at least 1
	Slack     float64 `json:"slack"`     // calls
}

// ReadSidecar reads and validates a settings file. A *manifest.ValidationError lists the
// violations.
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

// DecodeSidecar decodes and validates settings and rejects unknown fields. The file name
// only appears in errors.
func DecodeSidecar(file string, text []byte) (*Sidecar, error) {
	if len(text) > maxSidecarBytes {
		return nil, &manifest.ValidationError{File: file, Violations: []manifest.Violation{
			{Path: "/", Rule: fmt.Sprintf("document is larger than %d bytes", maxSidecarBytes)},
		}}
	}
	s := Sidecar{Log: Log{Level: "info"}, Placement: PlaceByLatency, Descriptors: defaultDescriptors, MaxHeadBytes: http1.DefaultMaxHeadBytes}
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

// SidecarStatic holds the settings that only take effect on a restart.
type SidecarStatic struct {
	Name, Service, Domain, Region string
	Listen                        SidecarListen
	Advertise                     SidecarAdvertise
	Target                        netip.AddrPort
	Store                         SidecarStore
	MemoryMiB                     int
	Descriptors, MaxHeadBytes     int
	Evacuation                    time.Duration
	Placement                     string
}

// Static returns the settings that only take effect on a restart.
func (s *Sidecar) Static() SidecarStatic {
	return SidecarStatic{
		Name: s.Name, Service: s.Service, Domain: s.Domain, Region: s.Region,
		Listen: s.Listen, Advertise: s.Advertise, Target: s.Target, Store: s.Store, MemoryMiB: s.MemoryMiB,
		Descriptors: s.Descriptors, MaxHeadBytes: s.MaxHeadBytes, Evacuation: s.Evacuation.Duration, Placement: s.Placement,
	}
}

// fieldPath returns the path of the field that failed to decode, or / if the error does
// not name one.
func fieldPath(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return "/" + typeErr.Field
	}
	return "/"
}

// Validate returns all violations.
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
			add(f.path, "must be an IP address with a port and must not be unspecified")
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
	if s.Placement != PlaceByLatency && s.Placement != PlaceByCompletion {
		add("/placement", "must be %s or %s", PlaceByLatency, PlaceByCompletion)
	}
	if s.Evacuation.Duration < 0 {
		add("/evacuation", "must not be less than 0")
	}
	if s.MemoryMiB <= 0 {
		add("/memory", "must be greater than 0")
	}
	if s.Descriptors < minDescriptors {
		add("/descriptors", "must be at least %d", minDescriptors)
	}
	if s.MaxHeadBytes < minHeadBytes {
		add("/head", "must be at least %d", minHeadBytes)
	}
	s.validateBounds(add)
	return violations
}

// validateBounds passes the violations of the bounds on calls to a function.
func (s *Sidecar) validateBounds(add func(path, rule string, args ...any)) {
	if s.Retry.Ratio < 0 || s.Retry.Slack < 0 {
		add("/retry", "ratio and slack must not be less than 0")
	}
	if w := s.Warmup; w != nil && (w.Overshoot < 1 || w.Slack < 0) {
		add("/warmup", "overshoot must be at least 1 and slack must not be less than 0")
	}
}
