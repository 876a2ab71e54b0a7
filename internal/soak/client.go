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
	pauseBetween = 25 * time.Millisecond // of one client's requests, about
	patience     = 2500 * time.Millisecond
	allowed      = 2 * time.Second // for the answer, as the request says
	maxBody      = 4000            // bytes of an order
	maxAnswer    = 1 << 20
)

// client sends one request after the other on connections that it keeps.
type client struct {
	fleet  *Fleet
	number int
	random *rand.Rand
	nodes  []*http1.Client
	sent   int
}

func newClient(f *Fleet, number int, seed uint64) *client {
	c := &client{fleet: f, number: number, random: rand.New(rand.NewPCG(seed, uint64(number)))}
	for _, u := range f.units {
		c.nodes = append(c.nodes, http1.NewClient(http1.Config{Address: u.at(portCaller)}))
	}
	return c
}

// run sends requests until the context ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		// A request that was sent is waited for: its end tells of the fleet.
		c.request(context.WithoutCancel(ctx), c.random.IntN(len(c.nodes)))
		time.Sleep(pauseBetween/2 + time.Duration(c.random.Int64N(int64(pauseBetween))))
	}
}

func (c *client) request(ctx context.Context, node int) {
	c.sent++
	r := Request{ID: fmt.Sprintf("c%d-%d", c.number, c.sent), Node: node, Workspace: steady}
	if c.random.IntN(4) == 0 {
		r.Workspace = greedy
	}
	var version int
	r.Key, version = c.fleet.key(r.Workspace)
	if old, ok := c.withdrawn(); ok && c.random.IntN(8) == 0 {
		r.Key, r.Workspace = old.Key, old.Workspace
	}
	a := standin.Request{ID: r.ID, Method: http.MethodGet, Host: hostPage, Path: "/page/" + r.ID, Deadline: allowed}
	mark := 0
	switch c.random.IntN(6) {
	case 0:
		r.Key = "" // the route is open
		mark = 1 + c.random.IntN(version)
		r.Kind, a.Host, a.Path = kindMark, hostMark, markPath(mark)+r.ID
	case 1, 2:
		r.Kind, a.Method, a.Host, a.Path = kindOrder, http.MethodPost, hostOrder, "/order/"+r.ID
		a.Body = strings.Repeat("x", c.random.IntN(maxBody))
	default:
		r.Kind = kindPage
	}
	u := c.fleet.units[node]
	u.mu.Lock()
	process := u.process
	u.mu.Unlock()
	a.Key = r.Key
	c.send(ctx, &r, a)
	c.fleet.history.note(func() {
		h := c.fleet.history
		h.Requests = append(h.Requests, r)
		if r.Kind == kindMark && (r.Status == http.StatusOK || r.Status == http.StatusNotFound) {
			h.VersionProbes = append(h.VersionProbes, VersionProbe{Node: node, Process: process, Version: mark, InForce: r.Status == http.StatusOK, Sent: r.Sent})
		}
	})
}

// withdrawn draws a key that was taken away, if there is one.
func (c *client) withdrawn() (w KeyRevocation, ok bool) {
	c.fleet.history.note(func() {
		if list := c.fleet.history.KeyRevocations; len(list) > 0 {
			w, ok = list[c.random.IntN(len(list))], true
		}
	})
	return w, ok
}

// send makes the request and notes how it ended.
func (c *client) send(ctx context.Context, r *Request, a standin.Request) {
	ctx, cancel := context.WithTimeout(ctx, patience)
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
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return // an answer that breaks off is visible as such
	}
	r.Status = res.StatusCode
	if r.Status == http.StatusOK {
		r.ResponseError = r.wrong(res, string(text), len(a.Body))
	}
}

// wrong says what of an answer is not the answer to the request.
func (r *Request) wrong(res *http.Response, text string, sent int) string {
	tenant := r.Workspace
	if r.Kind == kindMark {
		tenant = ""
	}
	for _, want := range []string{r.ID + " ", "tenant=" + tenant + " ", `key=""`, fmt.Sprintf("body=%d\n", sent)} {
		if !strings.Contains(text, want) {
			return fmt.Sprintf("the answer lacks %q: %s", want, text)
		}
	}
	if got := standin.RequestID(res); got != r.ID {
		return "the answer names " + got
	}
	return ""
}
