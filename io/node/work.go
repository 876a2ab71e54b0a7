package node

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"celeryshelf/core"
)

// maxWorkMicros bounds each figure of a work header: an hour.
const maxWorkMicros = uint64(time.Hour / time.Microsecond)

// SetWork encodes the work published for a target into the headers of a response or refusal.
// Nodes that publish none set no header, and older nodes ignore it.
func SetWork(h http.Header, w core.Work) {
	if w.UnitTime <= 0 {
		return
	}
	var buffer [48]byte
	b := buffer[:0]
	for i, d := range [...]time.Duration{w.UnitTime, w.ServiceTime, w.Took} {
		if i > 0 {
			b = append(b, ' ')
		}
		b = strconv.AppendUint(b, min(maxWorkMicros, uint64(max(0, d.Microseconds()))), 10)
	}
	h[headerWork] = []string{string(b)}
}

// getWork decodes the header that SetWork writes. If it is missing or malformed, no work is
// published.
func getWork(h http.Header) core.Work {
	values := h[headerWork]
	if len(values) != 1 {
		return core.Work{}
	}
	unit, rest, _ := strings.Cut(values[0], " ")
	service, took, _ := strings.Cut(rest, " ")
	var w core.Work
	for _, f := range [...]struct {
		text string
		to   *time.Duration
	}{{unit, &w.UnitTime}, {service, &w.ServiceTime}, {took, &w.Took}} {
		micros, err := strconv.ParseUint(f.text, 10, 64)
		if err != nil || micros > maxWorkMicros {
			return core.Work{}
		}
		*f.to = time.Duration(micros) * time.Microsecond
	}
	return w
}
