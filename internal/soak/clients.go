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
)

const (
	pauseBetween = 25 * time.Millisecond // of one client's requests, about
	patience     = 2500 * time.Millisecond
	allowedMS    = "2000" // Deadline-Milliseconds of a request
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
	method, host, path := http.MethodGet, "maps.example", "/page/"+r.ID
	switch c.random.IntN(6) {
	case 0:
		r.Key = "" // the route is open
		r.Kind, host, path = kindMark, "mark.example", fmt.Sprintf("/v%d/%s", 1+c.random.IntN(version), r.ID)
	case 1, 2:
		r.Kind, method, host, path = kindOrder, http.MethodPost, "nursery.example", "/order/"+r.ID
	default:
		r.Kind = kindPage
	}
	u := c.fleet.units[node]
	u.mu.Lock()
	process := u.process
	u.mu.Unlock()
	c.send(ctx, &r, method, host, path)
	c.fleet.history.note(func() {
		h := c.fleet.history
		h.Requests = append(h.Requests, r)
		if r.Kind == kindMark && (r.Status == http.StatusOK || r.Status == http.StatusNotFound) {
			var v int
			_, _ = fmt.Sscanf(path, "/v%d/", &v) // written so above
			h.Seen = append(h.Seen, Seen{Node: node, Process: process, Version: v, InForce: r.Status == http.StatusOK, Sent: r.Sent})
		}
	})
}

// withdrawn draws a key that was taken away, if there is one.
func (c *client) withdrawn() (w Withdrawn, ok bool) {
	c.fleet.history.note(func() {
		if list := c.fleet.history.Withdrawn; len(list) > 0 {
			w, ok = list[c.random.IntN(len(list))], true
		}
	})
	return w, ok
}

// send makes the request and notes how it ended.
func (c *client) send(ctx context.Context, r *Request, method, host, path string) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	body := ""
	if method == http.MethodPost {
		body = strings.Repeat("x", c.random.IntN(4000))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.nodes[r.Node].Address.String()+path, strings.NewReader(body))
	if err != nil {
		r.Fault = err.Error()
		return
	}
	req.Host = host
	req.Header.Set("Request-Id", r.ID)
	req.Header.Set("Deadline-Milliseconds", allowedMS)
	if r.Kind != kindMark {
		req.Header.Set("Authorization", "Bearer "+r.Key)
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
		r.Fault = r.wrong(res, string(text), len(body))
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
	if got := res.Header.Get("Request-Id"); got != r.ID {
		return "the answer names " + got
	}
	return ""
}
