package agent

import (
	"context"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"celeryshelf/core"
	"celeryshelf/internal/budget"
	"celeryshelf/internal/clock"
	"celeryshelf/internal/relay"
)

// HTTP1 returns the protocols of a server without HTTP/2, on whose connections the number of
// requests in progress would not follow from the number of connections.
func HTTP1() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// newBuffers returns the pool for the data of calls, or nil for no limit. A full pool ends
// connections whose clients stall.
func (a *Agent) newBuffers() relay.BufferPool {
	if a.Shares.BufferBytes == 0 {
		return nil
	}
	pool := budget.NewPool(a.Shares.BufferBytes)
	pool.SetEvict(func() bool {
		for _, s := range a.listeners {
			if l := a.open[s.Name]; l != nil && l.EvictStalled() {
				return true
			}
		}
		return false
	})
	metrics.GetOrCreateGauge("celeryshelf_buffered_bytes", func() float64 { return float64(pool.Held()) })
	return pool
}

// registerGauges registers the gauges of the state of the node, whose target is of the given
// service.
func (a *Agent) registerGauges(service string) {
	gauge := func(name string, read func(v core.Status) float64) {
		metrics.GetOrCreateGauge(name, func() float64 {
			ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
			defer cancel()
			value := 0.0
			a.loop.Inspect(ctx, func(s *core.State) { value = read(s.Status()) })
			return value
		})
	}
	gauge("celeryshelf_calls", func(v core.Status) float64 { return float64(v.Calls) })
	gauge("celeryshelf_target_running", func(v core.Status) float64 { return float64(v.Gate.Running) })
	gauge("celeryshelf_target_queued", func(v core.Status) float64 { return float64(v.Gate.Queued) })
	gauge("celeryshelf_target_held_back", func(v core.Status) float64 { return float64(v.Gate.HeldBack) })
	gauge("celeryshelf_target_cold_seconds", func(v core.Status) float64 {
		if v.ColdUntil.IsZero() {
			return 0
		}
		return max(0, v.ColdUntil.Sub(clock.BootTime{}.Now()).Seconds())
	})
	gauge(fmt.Sprintf("celeryshelf_declined_ratio{service=%q}", service), func(v core.Status) float64 { return v.DeclinedRatio })
	gauge("celeryshelf_peers", func(v core.Status) float64 { return float64(len(v.Peers)) })
	gauge("celeryshelf_shards", func(v core.Status) float64 { return float64(v.OwnedShards) })
	// Both are 0 while the target does not report its load.
	gauge("celeryshelf_target_unit_seconds", func(v core.Status) float64 { return v.Work.UnitTime.Seconds() })
	gauge("celeryshelf_target_service_seconds", func(v core.Status) float64 { return v.Work.ServiceTime.Seconds() })
	gauge("celeryshelf_target_slowness", func(v core.Status) float64 { return v.Slowness })
	metrics.GetOrCreateGauge("celeryshelf_read_ahead_bytes", func() float64 { return float64(a.relay.BufferedBytes()) })
	gauge("celeryshelf_manifest_confirmed_seconds", func(v core.Status) float64 {
		return clock.BootTime{}.Now().Sub(v.ManifestConfirmedAt).Seconds()
	})
	if a.Evacuation > 0 {
		registerEvacuationGauges(gauge)
	}
}
