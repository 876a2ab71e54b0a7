package agent

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"celeryshelf/core"
)

// linesPerSecond bounds the lines on single calls. What a node decides beyond that
// is counted, and the count logged; the metrics hold every decision.
const linesPerSecond = 300

// volume counts the lines of the present second.
type volume struct {
	second  time.Time
	lines   int
	skipped int
}

// admit reports whether one more line may be written now.
func (o *observer) admit(now time.Time) bool {
	if now.Sub(o.volume.second) >= time.Second {
		if o.volume.skipped > 0 {
			o.log.Warn("decisions-not-logged", "count", o.volume.skipped)
		}
		o.volume = volume{second: now}
	}
	if o.volume.lines >= linesPerSecond {
		o.volume.skipped++
		return false
	}
	o.volume.lines++
	return true
}

// decision logs what was decided on a call and from what.
func (o *observer) decision(v *core.Verdict, a *core.Arrive) {
	level := slog.LevelInfo
	if v.Action == core.Settle {
		level = slog.LevelDebug
	}
	if !o.log.Enabled(context.Background(), level) || !o.admit(time.Now()) {
		return
	}
	attrs := make([]slog.Attr, 0, 16)
	attrs = append(attrs,
		slog.String("call", fmt.Sprintf("%016x", uint64(v.Call))),
		slog.String("id", a.ID),
		slog.String("action", v.Action.String()),
		slog.String("origin", a.Origin.String()),
		slog.String("route", a.Route+a.Pass.Route),
		slog.String("workspace", v.Why.Workspace),
		slog.Uint64("version", v.Why.Version),
		slog.Duration("confirmed", v.Why.Confirmed),
		slog.Duration("left", v.Why.Left),
		slog.Int("attempt", v.Why.Attempt),
	)
	switch v.Action {
	case core.Refuse:
		attrs = append(attrs, slog.String("reason", v.Reason.String()), slog.String("ran", v.Ran.String()),
			slog.Duration("retry", v.Retry), slog.Int("running", v.Why.Running), slog.Int("queued", v.Why.Queued))
	case core.Run, core.Forward:
		attrs = append(attrs, slog.String("endpoint", v.Endpoint))
	case core.Replay, core.Deliver, core.Settle:
	}
	o.log.LogAttrs(context.Background(), level, "verdict", attrs...)
}
