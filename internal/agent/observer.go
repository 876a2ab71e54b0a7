package agent

import (
	"fmt"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"celeryshelf/core"
	"celeryshelf/core/manifest"
	"celeryshelf/io/caller"
)

const (
	actionCount = int(core.ActionSettle) + 1
	reasonCount = int(core.ReasonTargetCold) + 1
	causeCount  = int(core.CauseTimeout) + 1
	originCount = int(core.FromCallerOrTarget) + 1
)

// observer records decisions in metrics and in the log.
type observer struct {
	log           *slog.Logger
	router        *caller.Router
	actions       [actionCount]*metrics.Counter
	reasons       [reasonCount]*metrics.Counter
	notices       map[core.NoticeKind]*metrics.Counter
	failures      [causeCount]*metrics.Counter
	callDurations [2 * originCount]*metrics.Histogram // by origin; for each, unsuccessful calls before successful ones
	limiter       lineLimiter
}

func newObserver(log *slog.Logger, router *caller.Router) *observer {
	o := &observer{log: log, router: router, notices: map[core.NoticeKind]*metrics.Counter{}}
	for i := range o.actions {
		name := fmt.Sprintf("celeryshelf_verdicts_total{action=%q}", core.Action(i))
		o.actions[i] = metrics.GetOrCreateCounter(name)
	}
	for i := range o.reasons {
		name := fmt.Sprintf("celeryshelf_refusals_total{reason=%q}", core.Reason(i))
		o.reasons[i] = metrics.GetOrCreateCounter(name)
	}
	for i := range o.failures {
		name := fmt.Sprintf("celeryshelf_attempts_failed_total{cause=%q}", core.Cause(i))
		o.failures[i] = metrics.GetOrCreateCounter(name)
	}
	for i := range originCount {
		for j, well := range []string{"no", "yes"} {
			name := fmt.Sprintf("celeryshelf_call_seconds{origin=%q,well=%q}", core.Origin(i), well)
			o.callDurations[2*i+j] = metrics.GetOrCreateHistogram(name)
		}
	}
	return o
}

// Verdict counts and logs a verdict.
func (o *observer) Verdict(v *core.Verdict, a *core.CallArrived) {
	o.actions[v.Action].Inc()
	if v.Action == core.ActionRefuse {
		o.reasons[v.Reason].Inc()
	}
	o.logVerdict(v, a)
}

// Notice counts and logs a notice for operators.
func (o *observer) Notice(n core.Notice) {
	c, ok := o.notices[n.Kind]
	if !ok {
		c = metrics.GetOrCreateCounter(fmt.Sprintf("celeryshelf_notices_total{kind=%q}", n.Kind))
		o.notices[n.Kind] = c
	}
	c.Inc()
	attrs := make([]any, 0, 8)
	if n.Peer != "" {
		attrs = append(attrs, "peer", n.Peer)
	}
	if n.Shard.Workspace != "" {
		attrs = append(attrs, "workspace", n.Shard.Workspace, "shard", n.Shard.Index)
	}
	if n.Detail != "" {
		attrs = append(attrs, "detail", n.Detail)
	}
	if n.Version != 0 {
		attrs = append(attrs, "version", n.Version)
	}
	attrs = append(attrs, evacuationAttrs(n)...)
	o.log.Info(n.Kind.String(), attrs...)
}

// ManifestActivated passes a new manifest to the router, which matches requests to its
// routes and knows its API keys.
func (o *observer) ManifestActivated(m *manifest.Compiled) {
	o.router.SetManifest(m)
	metrics.GetOrCreateCounter("celeryshelf_manifest_version").Set(m.Version)
}

// Warn logs a failure of the store session, which handles it by itself.
func (o *observer) Warn(err error) {
	o.log.Warn("store", "error", err)
}
