package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// Manifest is one complete configuration of the fleet.
type Manifest struct {
	Retries    int         `json:"retries"`
	Workspaces []Workspace `json:"workspaces"`
	Services   []Service   `json:"services"`
	Routes     []Route     `json:"routes"`
}

// Workspace is one tenant with its keys and its fleet-wide allowance.
type Workspace struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`  // calls a second
	Burst int     `json:"burst"` // calls
	Keys  []Key   `json:"keys"`
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

// Route maps requests of one method and path onto a service.
type Route struct {
	Name      string   `json:"name"`
	Method    string   `json:"method"`
	Path      string   `json:"path"`
	Service   string   `json:"service"`
	Important bool     `json:"important,omitempty"`
	Open      bool     `json:"open,omitempty"`
	Once      bool     `json:"once,omitempty"`
	Timeout   Duration `json:"timeout"`
}

// Versioned is a manifest together with its place in the order of configurations.
type Versioned struct {
	Version  uint64   `json:"version"`
	ID       string   `json:"id"` // names the apply that wrote it
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
