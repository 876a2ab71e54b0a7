package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// Manifest is one complete configuration of the fleet.
type Manifest struct {
	RetryBudget int         `json:"retries"`
	Workspaces  []Workspace `json:"workspaces"`
	Services    []Service   `json:"services"`
	Routes      []Route     `json:"routes"`
	Limits      Limits      `json:"limits,omitzero"`
}

// Limits bound what a caller may send. A field that is 0 leaves the default in place.
type Limits struct {
	MaxHeaderBytes int      `json:"header,omitempty"` // bytes
	MaxBodyBytes   int64    `json:"body,omitempty"`   // bytes
	HeaderTimeout  Duration `json:"headertimeout,omitzero"`
	IdleTimeout    Duration `json:"idletimeout,omitzero"`
}

// Workspace is one tenant with its keys and its fleet-wide allowance.
type Workspace struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`  // calls a second, 0 for no limit
	Burst int     `json:"burst"` // calls
	Keys  []Key   `json:"keys"`
	// Priority, 0 the highest, outweighs that of the route, if it is declared.
	Priority *int `json:"priority,omitempty"`
}

// Key names one credential of a workspace and holds its digest, never the secret.
type Key struct {
	Name   string `json:"name"`
	Digest Digest `json:"digest"`
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string `json:"name"`
}

// Route maps requests of one host, method and path onto a service.
type Route struct {
	Name          string            `json:"name"`
	Host          string            `json:"host,omitempty"`   // empty for any
	Method        string            `json:"method,omitempty"` // empty for any
	Path          string            `json:"path"`             // exact, or a prefix if it ends in /
	Service       string            `json:"service,omitempty"`
	Split         []WeightedService `json:"split,omitempty"` // instead of Service
	Important     bool              `json:"important,omitempty"`
	Priority      *int              `json:"priority,omitempty"` // 0 the highest; instead of Important
	Public        bool              `json:"open,omitempty"`
	AtMostOnce    bool              `json:"once,omitempty"`
	Timeout       Duration          `json:"timeout"`
	TargetLatency Duration          `json:"target,omitzero"`    // latency objective, 0 if there is none
	MaxAttempts   int               `json:"attempts,omitempty"` // endpoints one call may be sent to, 0 for the default
}

// WeightedService is one service's share of a route's calls.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"` // relative to the route's other parts
}

// Services returns the services that a route's calls may go to.
func (r *Route) Services() []WeightedService {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []WeightedService{{Service: r.Service, Weight: 1}}
}

// Versioned is a manifest together with its place in the order of configurations.
type Versioned struct {
	Version  uint64   `json:"version"`
	ApplyID  string   `json:"id"` // names the apply that wrote it
	Manifest Manifest `json:"manifest"`
}

// Duration is a time.Duration written as text such as "1.5s".
type Duration struct{ time.Duration }

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads Go's notation and fails on anything else.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	d.Duration = v
	return nil
}

// Digest is the SHA-256 of a key's secret.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a secret.
func DigestOf(secret string) Digest {
	return sha256.Sum256([]byte(secret))
}

// MarshalText writes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText reads exactly 64 hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("digest has %d characters, want %d", len(text), hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("decode digest: %w", err)
	}
	return nil
}
