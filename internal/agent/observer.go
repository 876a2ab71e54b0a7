package agent

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"celeryshelf/core"
	"celeryshelf/core/manifest"
	"celeryshelf/io/caller"
)

const (
	actionCount = int(core.Settle) + 1
	reasonCount = int(core.BadBody) + 1
)

// observer turns decisions into metrics and log lines.
type observer struct {
	log     zerolog.Logger
	router  *caller.Router
	actions [actionCount]*metrics.Counter
	reasons [reasonCount]*metrics.Counter
	notices map[core.NoticeKind]*metrics.Counter
}

func newObserver(log zerolog.Logger, router *caller.Router) *observer {
	o := &observer{log: log, router: router, notices: map[core.NoticeKind]*metrics.Counter{}}
	for i := range o.actions {
		name := fmt.Sprintf("celeryshelf_verdicts_total{action=%q}", core.Action(i))
		o.actions[i] = metrics.GetOrCreateCounter(name)
	}
	for i := range o.reasons {
		name := fmt.Sprintf("celeryshelf_refusals_total{reason=%q}", core.Reason(i))
		o.reasons[i] = metrics.GetOrCreateCounter(name)
	}
	return o
}

// Verdict counts a decision.
func (o *observer) Verdict(v core.Verdict) {
	o.actions[v.Action].Inc()
	if v.Action == core.Refuse {
		o.reasons[v.Reason].Inc()
	}
	if e := o.log.Debug(); e.Enabled() {
		e.Str("call", fmt.Sprintf("%016x", uint64(v.Call))).Stringer("action", v.Action).
			Stringer("reason", v.Reason).Str("endpoint", v.Endpoint).Msg("verdict")
	}
}

// Notice logs and counts what operators want to know.
func (o *observer) Notice(n core.Notice) {
	c, ok := o.notices[n.Kind]
	if !ok {
		c = metrics.GetOrCreateCounter(fmt.Sprintf("celeryshelf_notices_total{kind=%q}", n.Kind))
		o.notices[n.Kind] = c
	}
	c.Inc()
	e := o.log.Info()
	if n.Peer != "" {
		e = e.Str("peer", n.Peer)
	}
	if n.Shard.Workspace != "" {
		e = e.Str("workspace", n.Shard.Workspace).Int("shard", n.Shard.Index)
	}
	if n.Version != 0 {
		e = e.Uint64("version", n.Version)
	}
	e.Msg(n.Kind.String())
}

// InForce hands the routes and keys of a new manifest to the callers' side.
func (o *observer) InForce(m *manifest.Versioned) {
	o.router.Use(&m.Manifest)
	metrics.GetOrCreateCounter("celeryshelf_manifest_version").Set(m.Version)
}

// Warn logs a failure that the node works around.
func (o *observer) Warn(err error) {
	o.log.Warn().Str("error", fmt.Sprintf("%q", err.Error())).Msg("store")
}
