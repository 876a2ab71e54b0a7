package agent

import (
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"celeryshelf/io/tcp"
)

// connLogInterval is the shortest time between two log lines about connections that one
// listener ended for the same reason.
const connLogInterval = 1 * time.Second

// connLog counts the connections that listeners end by themselves, and logs a sample of them.
type connLog struct {
	log *slog.Logger
	mu  sync.Mutex
	// suppressed and last hold the lines that were not written since the last one, and when
	// that was written.
	suppressed map[connKind]int
	last       map[connKind]time.Time
}

// connKind is a kind of ended connections.
type connKind struct {
	listener string
	why      tcp.Ending
}

func newConnLog(log *slog.Logger) *connLog {
	return &connLog{log: log, suppressed: map[connKind]int{}, last: map[connKind]time.Time{}}
}

// listenerObserver receives the ended connections of one listener.
type listenerObserver struct {
	*connLog
	name     string
	counters map[tcp.Ending]*metrics.Counter
}

// listener returns the observer for a listener.
func (c *connLog) listener(name string) listenerObserver {
	o := listenerObserver{connLog: c, name: name, counters: map[tcp.Ending]*metrics.Counter{}}
	for _, why := range tcp.Endings {
		o.counters[why] = metrics.GetOrCreateCounter(fmt.Sprintf("celeryshelf_connections_ended_total{listener=%q,why=%q}", name, why))
	}
	return o
}

// ConnEnded counts a connection and logs it unless a line of its kind was written recently.
func (o listenerObserver) ConnEnded(why tcp.Ending, from netip.Addr, err error) {
	if c := o.counters[why]; c != nil {
		c.Inc()
	}
	kind, now := connKind{o.name, why}, time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.last[kind]) < connLogInterval {
		o.suppressed[kind]++
		return
	}
	attrs := []any{"listener", o.name, "why", string(why), "suppressed", o.suppressed[kind]}
	if from.IsValid() {
		attrs = append(attrs, "from", from)
	}
	if err != nil {
		attrs = append(attrs, "error", err)
	}
	o.last[kind], o.suppressed[kind] = now, 0
	o.log.Warn("connection-ended", attrs...)
}
