package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"celeryshelf/core/manifest"
	"celeryshelf/core/manifest/check"
	"celeryshelf/internal/document"
	"celeryshelf/io/etcd"
	"celeryshelf/io/store"
)

// errWarned reports that check --strict has found warnings.
var errWarned = errors.New("there are warnings")

// ManifestDecoder decodes a configuration in another format than the product's.
type ManifestDecoder interface {
	DecodeManifest(value []byte) (manifest.Versioned, error)
}

// Names of the formats that check reads.
const (
	formatManifest = "manifest"
	formatPlatform = "platform"
)

func checkCommand(config Config) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate a manifest, warn of entries without effect, and list what it changes",
		ArgsUsage: "FILE",
		Flags: append(storeFlags(),
			&cli.StringFlag{Name: "against", Usage: "`VERSION` in the store, or FILE with the manifest in force, to compare with"},
			&cli.StringFlag{Name: "fleet", Usage: "`FILE` with the capacity of the services"},
			&cli.StringFlag{Name: "format", Usage: "`FORMAT` of the files: manifest or platform", Value: formatManifest},
			&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"},
			&cli.BoolFlag{Name: "strict", Usage: "fail with exit code 3 if there are warnings"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return usagef("%s: want exactly one FILE", c.Name)
			}
			k := checker{Config: config, command: c}
			return k.run(ctx, c.Args().First())
		},
	}
}

// checker carries out one check command.
type checker struct {
	Config
	command *cli.Command
}

// checkResult is the result of a check of a valid manifest.
type checkResult struct {
	File       string               `json:"file"`
	Workspaces int                  `json:"workspaces"`
	Services   int                  `json:"services"`
	Routes     int                  `json:"routes"`
	Warnings   []manifest.Violation `json:"warnings,omitzero"`
	Changes    []check.Change       `json:"changes,omitzero"`
}

func (k *checker) run(ctx context.Context, file string) error {
	next, err := k.read(file)
	if err != nil {
		return err
	}
	config := check.Config{MaxSize: document.MaxSize}
	if info, err := os.Stat(file); err == nil {
		config.Size = int(info.Size())
	}
	if config.Fleet, err = readFleet(k.command.String("fleet")); err != nil {
		return err
	}
	result := checkResult{
		File: file, Workspaces: len(next.Workspaces), Services: len(next.Services), Routes: len(next.Routes),
		Warnings: check.Warnings(next, config),
	}
	against := k.command.String("against")
	if against != "" {
		inForce, err := k.readInForce(ctx, against)
		if err != nil {
			return err
		}
		result.Changes = check.Differences(inForce, next)
	}
	if err := k.print(result, against != ""); err != nil {
		return err
	}
	if k.command.Bool("strict") && len(result.Warnings) > 0 {
		return fmt.Errorf("%s: %w", file, errWarned)
	}
	return nil
}

// read reads and validates a manifest in the chosen format.
func (k *checker) read(file string) (*manifest.Manifest, error) {
	switch format := k.command.String("format"); format {
	case formatManifest:
		return document.ReadManifest(file)
	case formatPlatform:
		return k.readPlatform(file)
	default:
		return nil, usagef("check: --format: want %s or %s, not %q", formatManifest, formatPlatform, format)
	}
}

func (k *checker) readPlatform(file string) (*manifest.Manifest, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, document.MaxSize+1))
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	invalid := func(violations ...manifest.Violation) error {
		return &manifest.ValidationError{File: file, Violations: violations}
	}
	if len(text) > document.MaxSize {
		return nil, invalid(manifest.Violation{Path: "/", Rule: fmt.Sprintf("document has more than %d bytes", document.MaxSize)})
	}
	v, err := k.Platform.DecodeManifest(text)
	if err != nil {
		return nil, invalid(manifest.Violation{Path: "/", Rule: err.Error()})
	}
	if violations := v.Manifest.Validate(); len(violations) > 0 {
		return nil, invalid(violations...)
	}
	return &v.Manifest, nil
}

// readInForce reads the manifest to compare with: the version of that number in the store, or
// a file.
func (k *checker) readInForce(ctx context.Context, against string) (*manifest.Manifest, error) {
	version, err := strconv.ParseUint(against, 10, 64)
	if err != nil {
		return k.read(against)
	}
	at, err := parseAddressFlag(k.command, "store")
	if err != nil {
		return nil, err
	}
	client := etcd.NewClient(etcd.Config{Addresses: []netip.AddrPort{at}})
	stored, _, err := getManifest(ctx, client, store.NewLayout(k.command.String("prefix")).ManifestKey)
	if err != nil {
		return nil, err
	}
	if stored.Version != version {
		return nil, fmt.Errorf("store has version %d, not %d: %w", stored.Version, version, ErrConflict)
	}
	return &stored.Manifest, nil
}

func readFleet(file string) (check.Fleet, error) {
	var f check.Fleet
	if file == "" {
		return f, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return f, fmt.Errorf("read capacity of the fleet: %w", err)
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return f, &manifest.ValidationError{File: file, Violations: []manifest.Violation{{Path: "/", Rule: err.Error()}}}
	}
	return f, nil
}

func (k *checker) print(r checkResult, compared bool) error {
	if k.command.Bool("json") {
		e := json.NewEncoder(k.Output)
		e.SetIndent("", "  ")
		if err := e.Encode(r); err != nil {
			return fmt.Errorf("print result: %w", err)
		}
		return nil
	}
	lines := []string{fmt.Sprintf("%s: ok, %d workspaces, %d services, %d routes", r.File, r.Workspaces, r.Services, r.Routes)}
	for _, w := range r.Warnings {
		lines = append(lines, fmt.Sprintf("%s:%s: warning: %s", r.File, w.Path, w.Rule))
	}
	for _, c := range r.Changes {
		lines = append(lines, c.String())
	}
	if compared && len(r.Changes) == 0 {
		lines = append(lines, "no changes")
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(k.Output, line); err != nil {
			return fmt.Errorf("print result: %w", err)
		}
	}
	return nil
}
