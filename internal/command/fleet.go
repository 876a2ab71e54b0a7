package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"celeryshelf/core/manifest"
	"celeryshelf/internal/document"
	"celeryshelf/io/etcd"
	"celeryshelf/io/operator"
	"celeryshelf/io/store"
)

const (
	statusTimeout = 3 * time.Second
	pollInterval  = 100 * time.Millisecond
)

// ErrConflict reports that a manifest was not written because the store holds another
// version than the base.
var ErrConflict = errors.New("conflict")

func storeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "store", Usage: "`IP:PORT` of the store", Value: "127.0.0.1:2379"},
		&cli.StringFlag{Name: "prefix", Usage: "`PREFIX` of the keys in the store", Value: "celeryshelf/"},
	}
}

func nodeFlag() cli.Flag {
	return &cli.StringFlag{Name: "node", Usage: "`IP:PORT` of the operator listener of any node", Value: "127.0.0.1:8084"}
}

func applyCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "write a manifest to the store as the next version",
		ArgsUsage: "FILE",
		Flags: append(storeFlags(),
			&cli.Uint64Flag{Name: "base", Usage: "`VERSION` that the manifest is based on, 0 for the first", Required: true},
			&cli.StringFlag{Name: "node", Usage: "`IP:PORT` of the operator listener of a node; wait until all nodes have confirmed the version"},
			&cli.DurationFlag{Name: "wait", Usage: "maximum time to wait for confirmations", Value: 8 * time.Second},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			m, err := manifestArgument(c)
			if err != nil {
				return err
			}
			at, err := parseAddressFlag(c, "store")
			if err != nil {
				return err
			}
			client := etcd.NewClient(etcd.Config{Addresses: []netip.AddrPort{at}})
			key := store.NewLayout(c.String("prefix")).ManifestKey
			version, err := Apply(ctx, client, key, *m, c.Uint64("base"))
			if err != nil {
				return err
			}
			if _, err := fmt.Fprintf(out, "applied: version %d is in the store\n", version); err != nil {
				return err
			}
			if !c.IsSet("node") {
				return nil
			}
			return waitConfirmed(ctx, c, out, version)
		},
	}
}

// KeyValueStore is the store that Apply writes to.
type KeyValueStore interface {
	Get(ctx context.Context, key string) (*store.KeyValue, error)
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, lease int64) (bool, error)
}

// Apply writes a manifest as version base+1 and returns that version. It fails with
// ErrConflict if the version in the store is not base, and also if the encoded manifest is
// larger than document.MaxSize. If the result of the write is unknown, for example because
// the response was lost, Apply reads the manifest back.
func Apply(ctx context.Context, s KeyValueStore, key string, m manifest.Manifest, base uint64) (uint64, error) {
	current, revision, err := getManifest(ctx, s, key)
	if err != nil {
		return 0, err
	}
	if current.Version != base {
		return 0, fmt.Errorf("store has version %d, not the base %d: %w", current.Version, base, ErrConflict)
	}
	next := manifest.Versioned{Version: base + 1, ApplyID: uuid.NewString(), Manifest: m}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encode manifest: %w", err)
	}
	if len(value) > document.MaxSize {
		return 0, fmt.Errorf("manifest has %d bytes, the store accepts at most %d: %w", len(value), document.MaxSize, ErrConflict)
	}
	swapped, swapErr := s.CompareAndSwap(ctx, key, revision, value, 0)
	if swapErr == nil && swapped {
		return next.Version, nil
	}
	return resolveWrite(ctx, s, key, next, swapErr)
}

// resolveWrite determines the result of a write that failed or whose response was lost. It
// reads the manifest back and compares its ApplyID, which is unique to each Apply.
func resolveWrite(ctx context.Context, s KeyValueStore, key string, next manifest.Versioned, cause error) (uint64, error) {
	found, _, err := getManifest(ctx, s, key)
	switch {
	case err != nil:
		return 0, fmt.Errorf("outcome unknown, read the store before applying again: %w", errors.CombineErrors(err, cause))
	case found.ApplyID == next.ApplyID:
		return next.Version, nil
	case found.Version >= next.Version:
		return 0, fmt.Errorf("version %d was applied by another operator: %w", found.Version, ErrConflict)
	default:
		return 0, fmt.Errorf("manifest not written: %w", errors.CombineErrors(cause, ErrConflict))
	}
}

// getManifest returns the manifest in the store and the revision of its key. Both are zero
// if there is none.
func getManifest(ctx context.Context, s KeyValueStore, key string) (manifest.Versioned, int64, error) {
	var v manifest.Versioned
	pair, err := s.Get(ctx, key)
	if err != nil {
		return v, 0, fmt.Errorf("read manifest: %w", err)
	}
	if pair == nil {
		return v, 0, nil
	}
	if err := json.Unmarshal(pair.Value, &v); err != nil {
		return v, 0, fmt.Errorf("decode stored manifest: %w", err)
	}
	return v, pair.Revision, nil
}

// waitConfirmed polls a node until Unconfirmed returns no member for a version. Its error
// after the time limit lists the members that have not confirmed it.
func waitConfirmed(ctx context.Context, c *cli.Command, out io.Writer, version uint64) error {
	at, err := parseAddressFlag(c, "node")
	if err != nil {
		return err
	}
	deadline := time.Now().Add(c.Duration("wait"))
	for {
		s, err := FetchStatus(ctx, at)
		if err == nil {
			unconfirmed := Unconfirmed(s, version)
			if len(unconfirmed) == 0 {
				_, err := fmt.Fprintf(out, "in force: confirmed by %d nodes\n", len(s.Members)+1)
				return err
			}
			err = fmt.Errorf("not confirmed by %s", strings.Join(unconfirmed, ", "))
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("version %d: %w", version, errors.CombineErrors(err, errors.New("not confirmed before the deadline")))
		}
		time.Sleep(pollInterval)
	}
}

// Unconfirmed returns the names of the members that have not confirmed a version, except
// those that are draining. Unreachable members are marked as silent.
func Unconfirmed(s operator.Status, version uint64) []string {
	var out []string
	for _, m := range append([]operator.Member{s.Self}, s.Members...) {
		if m.Version >= version || m.Draining {
			continue
		}
		name := m.Name
		if m.Unreachable {
			name += " (silent)"
		}
		out = append(out, name)
	}
	return out
}

// FetchStatus requests the status of a node from its operator listener.
func FetchStatus(ctx context.Context, at netip.AddrPort) (operator.Status, error) {
	var s operator.Status
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	res, err := doRequest(ctx, http.MethodGet, at, "/status")
	if err != nil {
		return s, err
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(res.Body).Decode(&s); err != nil {
		return s, fmt.Errorf("decode status: %w", err)
	}
	return s, nil
}

// doRequest sends a request without a body to the operator listener of a node. A status of
// 400 or above is an error. The caller closes the response body.
func doRequest(ctx context.Context, method string, at netip.AddrPort, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.String()+path, nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("request to node: %w", err)
	}
	if res.StatusCode >= http.StatusBadRequest {
		_ = res.Body.Close()
		return nil, fmt.Errorf("node %s answered %s to %s %s", at, res.Status, method, path)
	}
	return res, nil
}

func statusCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state of the fleet as known to a node",
		Flags: []cli.Flag{nodeFlag(), &cli.BoolFlag{Name: "json", Usage: "print the complete status as JSON"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			at, err := parseAddressFlag(c, "node")
			if err != nil {
				return err
			}
			s, err := FetchStatus(ctx, at)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				enc := json.NewEncoder(out)
				enc.SetIndent("", "  ")
				return enc.Encode(s)
			}
			return printStatus(out, s)
		},
	}
}

func printStatus(out io.Writer, s operator.Status) error {
	store := "away"
	if s.StoreReachable {
		store = "up"
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "manifest\tversion %d\nstore\t%s\ncalls\t%d\n", s.Version, store, s.Calls)
	_, _ = fmt.Fprintf(w, "target\tlimit %.0f, running %d, queued %d, service %s\n\n", s.Admission.Limit, s.Admission.Running, s.Admission.Queued, s.Admission.MeanServiceTime)
	_, _ = fmt.Fprintln(w, "NODE\tSERVICE\tDOMAIN\tCONFIRMED\tSTATE\tHEARD")
	for _, m := range append([]operator.Member{s.Self}, s.Members...) {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", m.Name, m.Service, m.Domain, m.Version, memberState(m), m.SinceHeard)
	}
	_, _ = fmt.Fprintln(w, "\nWORKSPACE\tSHARD\tOWNER")
	for _, o := range s.Shards {
		_, _ = fmt.Fprintf(w, "%s\t%d of %d\t%s\n", o.Workspace, o.Index+1, o.Count, o.Owner)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print status: %w", err)
	}
	return nil
}

func memberState(m operator.Member) string {
	switch {
	case m.Unreachable:
		return "silent"
	case m.Draining:
		return "draining"
	default:
		return "live"
	}
}

func drainCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "drain a node: it finishes its calls and leaves the fleet",
		Flags: []cli.Flag{nodeFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			at, err := parseAddressFlag(c, "node")
			if err != nil {
				return err
			}
			res, err := doRequest(ctx, http.MethodPost, at, "/drain")
			if err != nil {
				return err
			}
			_ = res.Body.Close()
			_, err = fmt.Fprintln(out, "draining")
			return err
		},
	}
}

func digestCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "digest",
		Usage: "read an API key from standard input and print its digest for the manifest",
		Action: func(context.Context, *cli.Command) error {
			text, err := io.ReadAll(io.LimitReader(os.Stdin, document.MaxSize))
			if err != nil {
				return fmt.Errorf("read key: %w", err)
			}
			key := strings.TrimSpace(string(text))
			if key == "" {
				return usagef("digest: no key on standard input")
			}
			d, err := manifest.DigestOf(key).MarshalText()
			if err != nil {
				return fmt.Errorf("encode digest: %w", err)
			}
			_, err = fmt.Fprintf(out, "%s\n", d)
			return err
		},
	}
}
