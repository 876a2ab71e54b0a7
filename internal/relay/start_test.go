package relay_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"

	"celeryshelf/core"
)

// TestManifestThatArrivesDuringABodyCausesNo404 guards against a definite refusal of a request
// that reached a starting node (review/4): its head arrives before the manifest and the rest of
// its body after it.
func TestManifestThatArrivesDuringABodyCausesNo404(t *testing.T) {
	n := startNode(t, "back", startTarget(t, func(http.ResponseWriter, *http.Request) {}), 1)
	c := dial(t, n.caller)
	if _, err := fmt.Fprintf(c, "POST /order HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	// The node asks for the body once it has read the head.
	if res, err := http.ReadResponse(r, nil); err != nil || res.StatusCode != http.StatusContinue { //nolint:bodyclose // it has no body
		t.Fatalf("got response %+v, error %v; want status %d", res, err, http.StatusContinue)
	}
	n.loop.Post(&core.ManifestStored{Manifest: compiled(testManifest())})
	awaitManifest(t, n)
	if _, err := fmt.Fprint(c, "body"); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want %d", res.StatusCode, http.StatusServiceUnavailable)
	}
}
