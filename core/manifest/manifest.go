package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// Manifest is a complete configuration of the fleet.
type Manifest struct {
	RetryBudget int         `json:"retries"` // largest retry budget of a root call and its call tree
	Workspaces  []Workspace `json:"workspaces"`
	Services    []Service   `json:"services"`
	Routes      []Route     `json:"routes"`
	Limits      Limits      `json:"limits,omitzero"`
}

// Limits bounds the requests of callers. With a size of 0, only the server's fixed
// limit on headers holds. A node with a budget for its connections (celerynode) applies the
// timeouts to callers; others have fixed ones.
type Limits struct {
	MaxHeaderBytes int      `json:"header,omitempty"`
	MaxBodyBytes   int64    `json:"body,omitempty"`
	HeaderTimeout  Duration `json:"headertimeout,omitzero"`
	IdleTimeout    Duration `json:"idletimeout,omitzero"`
}

// Workspace is a customer with its keys and its fleet-wide quota.
type Workspace struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`  // calls per second, 0 for no limit
	Burst int     `json:"burst"` // calls
	Keys  []Key   `json:"keys"`
	// Priority orders calls of different workspaces; the route's priority orders calls of
	// workspaces with equal priority. 0 is the highest and the default.
	Priority *int `json:"priority,omitempty"`
}

// Key is a named credential of a workspace. It holds the digest of the secret, never the
// secret itself.
type Key struct {
	Name   string `json:"name"`
	Digest Digest `json:"digest"`
}

// Service is a set of interchangeable targets.
type Service struct {
	Name string `json:"name"`
	// ColdRate is the number of calls per second that a target tolerates while it is cold,
	// 0 for any number. ColdDuration is how long it is cold after its start.
	ColdRate     float64  `json:"coldrate,omitempty"`
	ColdDuration Duration `json:"coldtime,omitzero"`
}

// Route maps the requests for a host, method and path to a service.
type Route struct {
	Name          string            `json:"name"`
	Host          string            `json:"host,omitempty"`   // empty for any
	Method        string            `json:"method,omitempty"` // empty for any
	Path          string            `json:"path"`             // exact, or a prefix if it ends with /
	Service       string            `json:"service,omitempty"`
	Split         []WeightedService `json:"split,omitempty"` // instead of Service
	Important     bool              `json:"important,omitempty"`
	Priority      *int              `json:"priority,omitempty"` // 0 is the highest; if unset, 0 if Important and 1 otherwise
	Public        bool              `json:"open,omitempty"`     // no API key is required
	AtMostOnce    bool              `json:"once,omitempty"`     // a call that may have run is not repeated
	Timeout       Duration          `json:"timeout"`
	TargetLatency Duration          `json:"target,omitzero"` // latency objective, 0 for none
	// MaxAttempts bounds the attempts of one call that may have reached a target. An attempt
	// that is known not to have run counts only if the target itself refused it as
	// overloaded. 0 sets no limit for the route; core bounds all attempts of a call in any case.
	MaxAttempts int `json:"attempts,omitempty"`
}

// WeightedService is a service with its share of a route's calls.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"` // relative to the other weights of the route
}

// Services returns the services that a route's calls may go to, with their weights.
func (r *Route) Services() []WeightedService {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []WeightedService{{Service: r.Service, Weight: 1}}
}

// Versioned is a manifest with its version, which orders the configurations.
type Versioned struct {
	Version  uint64   `json:"version"`
	ApplyID  string   `json:"id"` // identifies the apply operation that wrote it
	Manifest Manifest `json:"manifest"`
}

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration struct{ time.Duration }

// MarshalText encodes the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	d.Duration = v
	return nil
}

// Digest is the SHA-256 digest of a key's secret.
type Digest [sha256.Size]byte

// DigestOf returns the SHA-256 digest of a secret.
func DigestOf(secret string) Digest {
	return sha256.Sum256([]byte(secret))
}

// MarshalText encodes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText parses exactly 64 hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("digest has %d characters, want %d", len(text), hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("decode digest: %w", err)
	}
	return nil
}
