package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"celeryshelf/io/http1"
	"celeryshelf/platform/standin"
)

const (
	requestInterval  = 25 * time.Millisecond   // average pause of a client between requests
	clientTimeout    = 2500 * time.Millisecond // longer than requestDeadline
	requestDeadline  = 2 * time.Second         // sent in the request
	maxOrderBytes    = 4000
	maxResponseBytes = 1 << 20
)

// client sends one request at a time to randomly chosen nodes over persistent connections.
type client struct {
	fleet        *Fleet
	number       int
	random       *rand.Rand
	nodes        []*http1.Client
	requestCount int
}

func newClient(f *Fleet, number int, seed uint64) *client {
	c := &client{fleet: f, number: number, random: rand.New(rand.NewPCG(seed, uint64(number)))}
	for _, v := range f.vms {
		c.nodes = append(c.nodes, http1.NewClient(http1.Config{Address: v.addr(portCaller)}))
	}
	return c
}

// run sends requests until the context ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		// Requests in flight are not cancelled with ctx: their outcome is part of the history.
		c.request(context.WithoutCancel(ctx), c.random.IntN(len(c.nodes)))
		time.Sleep(requestInterval/2 + time.Duration(c.random.Int64N(int64(requestInterval))))
	}
}

// request sends a random request to a node and records its outcome.
func (c *client) request(ctx context.Context, node int) {
	c.requestCount++
	r := Request{ID: fmt.Sprintf("c%d-%d", c.number, c.requestCount), Node: node, Workspace: steady}
	if c.random.IntN(4) == 0 {
		r.Workspace = greedy
	}
	var version int
	r.Key, version = c.fleet.key(r.Workspace)
	if old, ok := c.revokedKey(); ok && c.random.IntN(8) == 0 {
		r.Key, r.Workspace = old.Key, old.Workspace
	}
	a := standin.Request{ID: r.ID, Method: http.MethodGet, Host: hostPage, Path: "/page/" + r.ID, Deadline: requestDeadline}
	probedVersion := 0
	switch c.random.IntN(6) {
	case 0:
		r.Key = "" // the route is public
		probedVersion = 1 + c.random.IntN(version)
		r.Kind, a.Host, a.Path = kindProbe, hostProbe, probePath(probedVersion)+r.ID
	case 1, 2:
		r.Kind, a.Method, a.Host, a.Path = kindOrder, http.MethodPost, hostOrder, "/order/"+r.ID
		a.Body = strings.Repeat("x", c.random.IntN(maxOrderBytes))
	default:
		r.Kind = kindPage
	}
	v := c.fleet.vms[node]
	v.mu.Lock()
	processNumber := v.processNumber
	v.mu.Unlock()
	a.Key = r.Key
	c.send(ctx, &r, a)
	c.fleet.history.locked(func() {
		h := c.fleet.history
		h.Requests = append(h.Requests, r)
		if r.Kind == kindProbe && (r.Status == http.StatusOK || r.Status == http.StatusNotFound) {
			h.VersionProbes = append(h.VersionProbes, VersionProbe{Node: node, Process: processNumber, Version: probedVersion, InForce: r.Status == http.StatusOK, Sent: r.Sent})
		}
	})
}

// revokedKey returns a random revoked key, if there is one.
func (c *client) revokedKey() (w KeyRevocation, ok bool) {
	c.fleet.history.locked(func() {
		if list := c.fleet.history.KeyRevocations; len(list) > 0 {
			w, ok = list[c.random.IntN(len(list))], true
		}
	})
	return w, ok
}

// send sends the request and sets its outcome in r.
func (c *client) send(ctx context.Context, r *Request, a standin.Request) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := standin.NewRequest(ctx, c.nodes[r.Node].Address, a)
	if err != nil {
		r.ResponseError = err.Error()
		return
	}
	r.Sent = time.Now()
	defer func() { r.Ended = time.Now() }()
	res, err := c.nodes[r.Node].RoundTrip(req)
	if err != nil {
		r.NotSent = errors.Is(err, http1.ErrNotSent)
		return
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return // a truncated response counts as no response, since the client can detect it
	}
	r.Status = res.StatusCode
	if r.Status == http.StatusOK {
		r.ResponseError = r.mismatch(res, string(text), len(a.Body))
	}
}

// mismatch describes the first part of a response that does not belong to the request, or
// returns "" if all parts do.
func (r *Request) mismatch(res *http.Response, text string, sent int) string {
	tenant := r.Workspace
	if r.Kind == kindProbe {
		tenant = ""
	}
	for _, want := range []string{r.ID + " ", "tenant=" + tenant + " ", `key=""`, fmt.Sprintf("body=%d\n", sent)} {
		if !strings.Contains(text, want) {
			return fmt.Sprintf("response does not contain %q: %s", want, text)
		}
	}
	if got := standin.RequestID(res); got != r.ID {
		return "response has the ID of request " + got
	}
	return ""
}
