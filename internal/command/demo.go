package command

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"celeryshelf/core/manifest"
	"celeryshelf/internal/fleet"
	"celeryshelf/internal/loopback"
	"celeryshelf/internal/standin"
	"celeryshelf/io/etcd"
	"celeryshelf/io/store"
)

const (
	demoRate     = 150.0 // calls per second
	demoLease    = 10 * time.Second
	demoGrace    = 1 * time.Second
	demoTimeout  = 3 * time.Second
	startTimeout = 20 * time.Second
	// revocationTimeout is the time after which every node must reject a revoked key.
	revocationTimeout = 2 * time.Second
	// minAnsweredRatio is the minimum ratio of answered to sent calls over all workspaces
	// whose key is not revoked. The load stays within every workspace's rate.
	minAnsweredRatio = 0.99
)

func demoCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run an example deployment on loopback addresses under load",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "example", Usage: "riverbank or grit", Value: "riverbank"},
			&cli.DurationFlag{Name: "duration", Usage: "duration of the load", Value: 6 * time.Second},
			&cli.BoolFlag{Name: "verbose", Usage: "print the logs of the nodes to standard error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			d, m, err := fleet.LoadExample(c.String("example"))
			if err != nil {
				return usagef("demo: %s", err)
			}
			if c.Duration("duration") < 4*time.Second {
				return usagef("demo: --duration must be at least 4s")
			}
			logs := io.Discard
			if c.Bool("verbose") {
				logs = os.Stderr
			}
			demo := &demo{out: out, deployment: d, manifest: m, duration: c.Duration("duration"), logs: logs}
			return demo.run(ctx)
		},
	}
}

// demo is a run of the demo command.
type demo struct {
	out        io.Writer
	logs       io.Writer
	deployment fleet.Deployment
	manifest   manifest.Manifest
	duration   time.Duration

	plan             fleet.Plan
	local            *fleet.InProcess
	revokedWorkspace string        // workspace whose key is revoked under load
	revokedAfter     time.Duration // time of the revocation since the start of the load
	sent             atomic.Int64
	answered         atomic.Int64
}

func (d *demo) run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	network, err := loopback.Reserve()
	if err != nil {
		return err
	}
	defer func() { _ = network.Release() }()
	d.plan = fleet.NewPlan(d.deployment, fleet.Options{Network: network, LeaseTTL: demoLease, DrainGrace: demoGrace})
	local, err := fleet.StartInProcess(ctx, d.plan, d.logs)
	if err != nil {
		return err
	}
	d.local = local
	samples, err := d.runLoad(ctx)
	stop()
	failures := local.Wait()
	if err != nil {
		return err
	}
	if err := d.printSummary(samples); err != nil {
		return err
	}
	return d.evaluate(samples, failures)
}

// runLoad applies the manifest, waits until the fleet is ready and sends the load, during
// which a key is revoked and a node drained.
func (d *demo) runLoad(ctx context.Context) ([]standin.Sample, error) {
	client := etcd.NewClient(etcd.Config{Addresses: []netip.AddrPort{d.plan.Store}})
	key := store.NewLayout(d.plan.VMs[0].Settings.Store.Prefix).ManifestKey
	if _, err := Apply(ctx, client, key, d.manifest, 0); err != nil {
		return nil, err
	}
	if err := d.waitReady(ctx); err != nil {
		return nil, err
	}
	_, _ = fmt.Fprintf(d.out, "%s: %d nodes ready, sending %.0f calls per second for %s\n",
		d.deployment.Name, len(d.plan.VMs), demoRate, d.duration)
	leaving := d.plan.VMs[0].Settings
	load := standin.NewLoadGenerator(standin.LoadConfig{
		EntryAddresses: d.plan.CallerAddrs()[1:], Streams: d.deployment.Streams(demoRate),
		Duration: d.duration, Seed: 1, AttemptTimeout: demoTimeout, OnCallEnd: d.count,
	})
	start := time.Now()
	failed := make(chan error, 1)
	go func() { failed <- d.revokeAndDrain(ctx, client, key, leaving.Name, start) }()
	progressDone := make(chan struct{})
	go func() { defer close(progressDone); d.showProgress(start) }()
	samples := load.Run(ctx)
	<-progressDone
	return samples, <-failed
}

func (d *demo) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for {
		if d.isReady(ctx) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("demo: fleet not ready within %s", startTimeout)
		}
		time.Sleep(pollInterval)
	}
}

// isReady reports whether the store holds at least as many quota shards as the manifest has
// workspaces, and every node has a manifest and knows all other nodes and all shards.
func (d *demo) isReady(ctx context.Context) bool {
	shards := 0
	for _, key := range d.local.Store.Keys() {
		if strings.Contains(key, "quota/") {
			shards++
		}
	}
	if shards < len(d.manifest.Workspaces) {
		return false
	}
	for _, u := range d.plan.VMs {
		s, err := FetchStatus(ctx, u.Settings.Listen.Operator)
		if err != nil || s.Version == 0 || len(s.Members) < len(d.plan.VMs)-1 || len(s.Shards) < shards {
			return false
		}
	}
	return true
}

// revokeAndDrain revokes the last workspace's keys after a quarter of the load's duration
// and drains a node after another quarter.
func (d *demo) revokeAndDrain(ctx context.Context, s KeyValueStore, key, node string, start time.Time) error {
	time.Sleep(d.duration / 4)
	next := d.manifest
	next.Workspaces = slices.Clone(next.Workspaces)
	last := &next.Workspaces[len(next.Workspaces)-1]
	last.Keys = nil
	d.revokedWorkspace = last.Name
	if _, err := Apply(ctx, s, key, next, 1); err != nil {
		return err
	}
	d.revokedAfter = time.Since(start)
	time.Sleep(d.duration / 4)
	d.local.Drain(node)
	return nil
}

func (d *demo) count(s standin.Sample) {
	d.sent.Add(1)
	if s.OK() {
		d.answered.Add(1)
	}
}

// showProgress prints the numbers of sent and answered calls until the load ends, if
// standard output is a terminal.
func (d *demo) showProgress(start time.Time) {
	info, err := os.Stdout.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	for time.Since(start) < d.duration {
		time.Sleep(min(pollInterval, d.duration-time.Since(start)))
		if terminal {
			_, _ = fmt.Fprintf(d.out, "\r%4.1fs  %d sent, %d answered ", time.Since(start).Seconds(), d.sent.Load(), d.answered.Load())
		}
	}
	if terminal {
		_, _ = fmt.Fprintln(d.out)
	}
}

// workspaceSummary holds the results of one workspace's calls.
type workspaceSummary struct {
	workspace          string
	sent               int
	answered           int
	mismatched         int // answers that were incomplete or belonged to another call
	unansweredByReason map[string]int
	latency            *hdrhistogram.Histogram // of answered calls, in microseconds
}

const (
	maxLatency    = time.Minute
	latencyDigits = 3 // significant decimal digits
)

func (d *demo) summarize(samples []standin.Sample) []*workspaceSummary {
	streams := d.deployment.Streams(demoRate)
	byName := map[string]*workspaceSummary{}
	var order []*workspaceSummary
	for _, c := range d.deployment.Callers {
		t := &workspaceSummary{
			workspace: c.Workspace, unansweredByReason: map[string]int{},
			latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits),
		}
		byName[c.Workspace] = t
		order = append(order, t)
	}
	for _, s := range samples {
		t := byName[streams[s.Stream].Workspace]
		t.add(s)
	}
	return order
}

func (t *workspaceSummary) add(s standin.Sample) {
	t.sent++
	if s.ResponseMismatch {
		t.mismatched++
	}
	if s.OK() {
		t.answered++
		_ = t.latency.RecordValue(s.Latency.Microseconds())
		return
	}
	reason := s.Reason
	if reason == "" {
		reason = fmt.Sprintf("status-%d", s.Status)
	}
	t.unansweredByReason[reason]++
}

func (t *workspaceSummary) reasons() string {
	var parts []string
	for reason, n := range t.unansweredByReason {
		parts = append(parts, fmt.Sprintf("%s %d", reason, n))
	}
	slices.Sort(parts)
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

func (t *workspaceSummary) quantile(q float64) time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(q)) * time.Microsecond
}

func (d *demo) printSummary(samples []standin.Sample) error {
	w := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "WORKSPACE\tSENT\tANSWERED\tP50\tP99\tNOT ANSWERED")
	for _, t := range d.summarize(samples) {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\n", t.workspace, t.sent, t.answered,
			t.quantile(50).Round(time.Millisecond), t.quantile(99).Round(time.Millisecond), t.reasons())
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print summary: %w", err)
	}
	return nil
}

// evaluate prints the verdict and returns an error if a requirement is violated.
func (d *demo) evaluate(samples []standin.Sample, failures []error) error {
	streams := d.deployment.Streams(demoRate)
	sent, answered, crossed, late := 0, 0, 0, 0
	for _, s := range samples {
		if s.ResponseMismatch {
			crossed++
		}
		answeredAfterRevocation := s.OK() && streams[s.Stream].Workspace == d.revokedWorkspace && s.Start > d.revokedAfter+revocationTimeout
		if answeredAfterRevocation && !d.isPublic(streams[s.Stream]) {
			late++
		}
		if streams[s.Stream].Workspace == d.revokedWorkspace {
			continue
		}
		sent++
		if s.OK() {
			answered++
		}
	}
	answeredRatio := float64(answered) / float64(max(1, sent))
	verdict := fmt.Sprintf("%d of %d calls answered, %d wrong or incomplete answers, %d answers with a revoked key, %d nodes failed",
		answered, sent, crossed, late, len(failures))
	if answeredRatio < minAnsweredRatio || crossed > 0 || late > 0 || len(failures) > 0 {
		_, _ = fmt.Fprintln(d.out, "demo: failed", verdict)
		return errors.Join(append(failures, errors.New("demo failed"))...)
	}
	_, err := fmt.Fprintln(d.out, "demo: ok", verdict)
	return err
}

// isPublic reports whether a stream's route requires no API key.
func (d *demo) isPublic(s standin.Stream) bool {
	for _, r := range d.manifest.Routes {
		if r.Method == s.Method && r.Path == s.Path {
			return r.Public
		}
	}
	return false
}
