package node

import (
	"net/http"
	"testing"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/route"
)

// TestWorkHeader guards against a work header that decodes to other figures than were encoded,
// or that is believed although it is malformed.
func TestWorkHeader(t *testing.T) {
	want := core.Work{Work: route.Work{UnitTime: 120 * time.Millisecond, ServiceTime: 40 * time.Millisecond}, Took: 33 * time.Microsecond}
	h := http.Header{}
	SetWork(h, want)
	if got := GetTargetLoad(h).Work; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	h = http.Header{}
	SetWork(h, core.Work{})
	if len(h) != 0 {
		t.Errorf("a node that publishes no work sends %v", h)
	}
	for _, text := range []string{"", "1", "1 2", "1 2 3 4", "-1 2 3", "1 2 x", "1 2 99999999999999999999"} {
		if got := getWork(http.Header{headerWork: {text}}); got != (core.Work{}) {
			t.Errorf("%q: got %+v, want none", text, got)
		}
	}
}
