package store

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"celeryshelf/core"
)

// leaseClient is a store that holds values under leases. It implements only the calls that
// announcing and saving departures need; any other call panics.
type leaseClient struct {
	Client
	mu     sync.Mutex
	ttls   []time.Duration // by lease, counted from 1
	values map[string]KeyValue
	leases map[string]int64 // by key
	fail   error
}

func newLeaseClient() *leaseClient {
	return &leaseClient{values: map[string]KeyValue{}, leases: map[string]int64{}}
}

func (c *leaseClient) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ttls = append(c.ttls, ttl)
	return int64(len(c.ttls)), c.fail
}

func (c *leaseClient) Put(_ context.Context, key string, value []byte, lease int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fail == nil {
		c.values[key], c.leases[key] = KeyValue{Key: key, Value: value, Revision: 1}, lease
	}
	return c.fail
}

func (c *leaseClient) Revoke(_ context.Context, lease int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, l := range c.leases {
		if l == lease {
			delete(c.values, key)
			delete(c.leases, key)
		}
	}
	return nil
}

func (c *leaseClient) Range(_ context.Context, prefix string) ([]KeyValue, int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []KeyValue
	for key, p := range c.values {
		if strings.HasPrefix(key, prefix) {
			out = append(out, p)
		}
	}
	return out, 7, c.fail
}

// Watch reports nothing.
func (c *leaseClient) Watch(ctx context.Context, _ string, _ int64, _ time.Duration, _ func(Change, int64)) error {
	<-ctx.Done()
	return ctx.Err()
}

// leaseOf returns the lease of a key, 0 if the key does not exist.
func (c *leaseClient) leaseOf(key string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.values[key]; !ok {
		return 0
	}
	return c.leases[key]
}

// lose removes a key.
func (c *leaseClient) lose(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.values, key)
}

// await waits until a key exists under a lease other than the given one.
func (c *leaseClient) await(t *testing.T, key string, other int64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if lease := c.leaseOf(key); lease != 0 && lease != other {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s is not written under a new lease", key)
		}
	}
}

var testAddress = netip.MustParseAddrPort("127.0.0.1:1")

type discardWarnings struct{}

func (discardWarnings) Warn(error) {}

func newLeaseSession(c Client) (*Session, *eventRecorder) {
	seen := &eventRecorder{}
	s := NewSession(Config{
		Client: c, Layout: NewLayout("shelf/"), NodeName: "n0", Address: testAddress,
		LeaseTTL: time.Second, Logger: discardWarnings{}, Clock: systemClock{},
	})
	s.SetSink(seen)
	return s, seen
}

// TestDeparturesOutliveTheProcess guards against departures that a planned stop deletes with
// the leases of the process, or that the first announcement of the next process overwrites.
func TestDeparturesOutliveTheProcess(t *testing.T) {
	c := newLeaseClient()
	first, seen := newLeaseSession(c)
	saved := []core.Departure{{InstanceID: "a", StartUnixMilli: 7}, {InstanceID: "b"}}
	if _, err := first.member.acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	first.execute(t.Context(), &core.SaveDepartures{Revision: 3, Departures: saved})
	if want := (&core.DeparturesSaved{Revision: 3}); len(*seen) != 1 || !reflect.DeepEqual((*seen)[0], want) {
		t.Fatalf("events %v, want %v", *seen, want)
	}
	if ttl := c.ttls[c.leases["shelf/member/n0/departures"]-1]; ttl != departuresTTL {
		t.Errorf("departures are kept for %s, want %s", ttl, departuresTTL)
	}
	if err := first.RevokeLeases(t.Context()); err != nil {
		t.Fatal(err)
	}

	second, seen := newLeaseSession(c)
	if _, err := second.member.acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	second.execute(t.Context(), &core.AnnounceMember{})
	if err := second.loadMembers(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := (*seen)[0].(*core.MembersStored).Departures; !reflect.DeepEqual(got, saved) {
		t.Errorf("the next process read %v, want %v", got, saved)
	}
	if _, err := second.loadNodeRecords(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := (*seen)[len(*seen)-1].(*core.StoreSnapshot).Departures; !reflect.DeepEqual(got, saved) {
		t.Errorf("the snapshot holds %v, want %v", got, saved)
	}
}

// TestFailedSaveIsNotConfirmed guards against a departure that is acknowledged although the
// store did not take it.
func TestFailedSaveIsNotConfirmed(t *testing.T) {
	c := newLeaseClient()
	c.fail = errors.New("store is away")
	s, seen := newLeaseSession(c)
	s.execute(t.Context(), &core.SaveDepartures{Revision: 1, Departures: []core.Departure{{InstanceID: "a"}}})
	if len(*seen) != 0 {
		t.Errorf("events %v, want none", *seen)
	}
}

// TestOddDeparturesAreNotUsed guards against a value of another writer that keeps a node from
// starting, or closes its target.
func TestOddDeparturesAreNotUsed(t *testing.T) {
	long, err := json.Marshal(make([]core.Departure, core.MaxDepartures+1))
	if err != nil {
		t.Fatal(err)
	}
	for _, value := range append([]string{
		`{"id":"a"}`, `[{"id":7}]`, `[{"start":-1}]`, `[{"time":-1}]`, `[{"start":1e999}]`, `[{"start":9223372036854775808}]`,
		`[{"id":"` + strings.Repeat("a", maxInstanceIDBytes+1) + `"}]`, string(long),
	}, oddValues...) {
		c := newLeaseClient()
		s, seen := newLeaseSession(c)
		key := s.Layout.departuresKey("n0")
		c.values[key] = KeyValue{Key: key, Value: []byte(value), Revision: 1}
		if err := s.loadMembers(t.Context()); err != nil {
			t.Fatal(err)
		}
		for _, d := range (*seen)[0].(*core.MembersStored).Departures {
			if d != (core.Departure{}) {
				t.Errorf("%.40q: departure %+v is used", value, d)
			}
		}
	}
}
