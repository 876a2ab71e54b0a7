package sidecar_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/internal/fleet"
	"celeryshelf/internal/settings"
	"celeryshelf/platform/standin"
)

// Bounds of a planned stop, as the platform states them.
const (
	stopLimit = 6 * time.Second // until the process is killed
	// excusedWork and excusedSend bound the requests that may be cut off: their endpoint works
	// on until the last sixth of stopLimit, and they were sent soon after the signal.
	excusedWork = stopLimit * 5 / 6
	excusedSend = 3 * time.Second
	lossSlack   = 200 * time.Millisecond // from the last byte of a request to a close without an answer
)

// stoppedRequest is a request during a planned stop, as its sender and its endpoint saw it.
type stoppedRequest struct {
	sent, closed   time.Time // by the sender
	status         int       // 0 if there was no answer
	stamped        bool      // the answer is the endpoint's
	began, stopped time.Time // at the endpoint, zero if it did not
}

// stopTest is two VMs, of which one is stopped, their endpoints and what was seen.
type stopTest struct {
	t        *testing.T
	vms      [2]settings.Sidecar
	mu       sync.Mutex
	requests map[string]*stoppedRequest
}

func (s *stopTest) request(id string) *stoppedRequest {
	r := s.requests[id]
	if r == nil {
		r = &stoppedRequest{}
		s.requests[id] = r
	}
	return r
}

// addr returns an address of a VM.
func (s *stopTest) addr(vm, port int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.93.%d.%d:%d", 1, 10+vm, port))
}

// serve is the endpoint beside a VM's node. The path /WORK/CHILD gives the milliseconds of its
// own work and, unless 0, those of a call that it makes after that. It stops at its deadline.
func (s *stopTest) serve(vm int, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	s.request(id).began = time.Now()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.request(id).stopped = time.Now()
		s.mu.Unlock()
	}()
	_, _ = io.Copy(io.Discard, r.Body)
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	work, _ := strconv.Atoi(parts[0])
	child, _ := strconv.Atoi(parts[1])
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", "s")
	deadline, _ := strconv.Atoi(r.Header.Get("Deadline-Milliseconds"))
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-time.After(time.Duration(deadline) * time.Millisecond):
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	if child > 0 {
		// The call goes on if the request is cut off, as its outcome is checked by itself.
		s.send(http.DefaultTransport, vm, "deep", id+".c", fmt.Sprintf("/%d/0", child))
	}
	_, _ = io.WriteString(w, "done")
}

// send sends a request to a VM's node and records what its sender sees.
func (s *stopTest) send(t http.RoundTripper, vm int, service, id, path string) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+s.vms[vm].Listen.Caller.String()+path, strings.NewReader("x"))
	if err != nil {
		return
	}
	req.GetBody = nil // keeps net/http from sending it again
	req.Host = service
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Milliseconds", "6000")
	sent := time.Now()
	res, err := t.RoundTrip(req)
	status, stamped := 0, false
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	if err == nil {
		status, stamped = res.StatusCode, res.Header.Get("Server-Stamp") != ""
	}
	s.mu.Lock()
	r := s.request(id)
	r.sent, r.closed, r.status, r.stamped = sent, time.Now(), status, stamped
	s.mu.Unlock()
}

func (s *stopTest) listen(at netip.AddrPort, h http.Handler) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { _ = server.Close() })
}

// start starts the store, the endpoints and the nodes and returns the processes of these.
func (s *stopTest) start() [2]*fleet.Process {
	store := standin.NewStore()
	go store.ExpireLeases(s.t.Context().Done())
	storeAddr := netip.MustParseAddrPort("127.93.1.1:2379")
	s.listen(storeAddr, store)
	config := standin.Config{Version: 1, Services: []string{"front", "deep"}}
	for _, service := range config.Services {
		config.Routes = append(config.Routes, standin.Route{Name: service, Host: service, PathPrefix: "/", Service: service, Unsafe: true, Public: true, Timeout: 6 * time.Second, TargetLatency: time.Second, Attempts: 2})
	}
	if _, err := store.PutConfig(config); err != nil {
		s.t.Fatal(err)
	}
	dir := s.t.TempDir()
	program, err := fleet.BuildSidecar(s.t.Context(), dir)
	if err != nil {
		s.t.Fatal(err)
	}
	var processes [2]*fleet.Process
	for i := range s.vms {
		s.vms[i] = settings.Sidecar{
			Name: fmt.Sprintf("n%d", i), Service: config.Services[i], Domain: "d", Region: "r",
			Listen: settings.SidecarListen{
				Caller: s.addr(i, 8080), Node: s.addr(i, 8081), Control: s.addr(i, 8082), Heartbeat: s.addr(i, 8083), Ready: s.addr(i, 8084), Metrics: s.addr(i, 8085),
			},
			Target: s.addr(i, 9000), Store: settings.SidecarStore{Address: storeAddr, Prefix: "celeryshelf/", LeaseTTL: duration(4 * time.Second)},
			HeartbeatInterval: duration(200 * time.Millisecond), MaxRevocationDelay: duration(5 * time.Second), DrainTimeout: duration(2 * time.Second), StopTimeout: duration(stopLimit),
			MemoryMiB: 284, Retry: settings.SidecarRetry{Ratio: 0.2, Window: duration(10 * time.Second), Slack: 48}, Log: settings.Log{Level: "info"},
		}
		s.listen(s.vms[i].Target, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(i, w, r) }))
		if processes[i], err = fleet.StartSidecar(program, dir, s.vms[i]); err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { _ = processes[i].Kill() })
		heartbeats := standin.NewEndpoint(standin.EndpointConfig{
			ID: fmt.Sprintf("i%d", i), Service: config.Services[i], Listen: s.vms[i].Target, HeartbeatAddress: s.vms[i].Listen.Heartbeat, Slots: 400, HeartbeatInterval: duration(200 * time.Millisecond),
		})
		go heartbeats.SendHeartbeats(s.t.Context())
	}
	return processes
}

func duration(d time.Duration) manifest.Duration { return manifest.Duration{Duration: d} }

// violation returns what was wrong with a request whose machine got the signal at a time, or "".
func (r *stoppedRequest) violation(signal time.Time) string {
	excused := r.sent.Sub(signal) <= excusedSend && (r.stopped.IsZero() || r.stopped.Sub(signal) >= excusedWork)
	switch {
	case r.sent.IsZero() || r.stamped:
		return ""
	case !r.began.IsZero() && !excused:
		return "reached its endpoint and got no answer of it"
	case !r.began.IsZero() && r.status == http.StatusServiceUnavailable:
		return "reached its endpoint and was refused as not run"
	case r.began.IsZero() && r.status == 0 && r.closed.Sub(r.sent) > lossSlack:
		return "was read and got no answer"
	}
	return ""
}

// TestPlannedStopCutsOffNoRequest guards against requests that are taken and passed on late in
// a planned stop and are cut off without an answer when the process ends. Clients send on kept
// connections until the process is gone.
func TestPlannedStopCutsOffNoRequest(t *testing.T) {
	s := &stopTest{t: t, requests: map[string]*stoppedRequest{}}
	processes := s.start()
	for end := time.Now().Add(15 * time.Second); !s.served(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the nodes do not serve")
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, load := range []struct{ service, path string }{
		{"front", "/50/0"}, {"front", "/700/0"}, {"front", "/1500/0"}, {"deep", "/50/0"}, {"deep", "/700/0"}, {"deep", "/1500/0"},
		{"front", "/300/300"}, {"front", "/1000/900"}, {"front", "/2000/1500"},
	} {
		for j := range 6 {
			clients.Go(func() {
				kept := &http.Transport{MaxConnsPerHost: 1}
				defer kept.CloseIdleConnections()
				time.Sleep(time.Duration(j) * 110 * time.Millisecond)
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(15 * time.Millisecond):
					}
					s.send(kept, 0, load.service, fmt.Sprintf("q%d-%d-%d", i, j, n), load.path)
				}
			})
		}
	}
	time.Sleep(2500 * time.Millisecond)
	signal := time.Now()
	if err := processes[0].Terminate(); err != nil {
		t.Fatal(err)
	}
	if err := processes[0].Wait(stopLimit); err != nil {
		t.Errorf("the process did not end in time: %v", err)
	}
	t.Logf("ended after %s", time.Since(signal))
	close(stop)
	clients.Wait()
	s.check(signal)
}

// served reports whether both services answer through the node that will be stopped.
func (s *stopTest) served() bool {
	for _, service := range []string{"front", "deep"} {
		id := fmt.Sprintf("first-%s-%d", service, time.Now().UnixNano())
		s.send(http.DefaultTransport, 0, service, id, "/1/0")
		if s.requests[id].status != http.StatusOK {
			return false
		}
	}
	return true
}

func (s *stopTest) check(signal time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := 0
	for id, r := range s.requests {
		if strings.HasPrefix(id, "first") {
			continue
		}
		if r.sent.After(signal) {
			late++
		}
		if why := r.violation(signal); why != "" {
			s.t.Errorf("%s, sent %.2f s after the signal, status %d after %.2f s, at its endpoint from %.2f to %.2f s: %s",
				id, r.sent.Sub(signal).Seconds(), r.status, r.closed.Sub(r.sent).Seconds(), r.began.Sub(signal).Seconds(), r.stopped.Sub(signal).Seconds(), why)
		}
	}
	if late < 50 {
		s.t.Errorf("%d requests were sent after the signal, want at least 50", late)
	}
}
