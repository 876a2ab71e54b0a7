package agent

import (
	"math"

	"celeryshelf/core"
	"celeryshelf/internal/clock"
)

// registerEvacuationGauges registers the gauges of evacuated domains.
func registerEvacuationGauges(gauge func(name string, read func(v core.Status) float64)) {
	gauge("celeryshelf_evacuated_domains", func(v core.Status) float64 { return float64(v.Evacuations.Domains) })
	gauge("celeryshelf_evacuated_calls_running", func(v core.Status) float64 { return float64(v.Evacuations.Running) })
	gauge("celeryshelf_evacuations_confirmed_seconds", func(v core.Status) float64 {
		if v.Evacuations.ConfirmedAt.IsZero() {
			return math.Inf(1)
		}
		return clock.BootTime{}.Now().Sub(v.Evacuations.ConfirmedAt).Seconds()
	})
}

// evacuationAttrs returns the attributes of the log line on the start or end of an evacuation.
// "since" is how long ago a node first read the domain's key.
func evacuationAttrs(n core.Notice) []any {
	if n.Evacuation.Name == "" {
		return nil
	}
	return []any{"domain", n.Evacuation.Name, "revision", n.Evacuation.Revision, "since", n.Evacuation.Age}
}
