package command

import (
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"celeryshelf/core/manifest"
	"celeryshelf/internal/standin"
	"celeryshelf/io/etcd"
)

func testStore(t *testing.T) (*standin.Store, *etcd.Client) {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	at := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return store, etcd.NewClient(etcd.Config{Addresses: []netip.AddrPort{at}})
}

func TestConcurrentAppliesDoNotOverwriteEachOther(t *testing.T) {
	_, client := testStore(t)
	const operators = 8
	results := make([]error, operators)
	var group sync.WaitGroup
	for i := range operators {
		group.Go(func() {
			_, results[i] = Apply(context.Background(), client, "m", manifest.Manifest{RetryBudget: i}, 0)
		})
	}
	group.Wait()
	won := 0
	for _, err := range results {
		switch {
		case err == nil:
			won++
		case !errors.Is(err, ErrConflict):
			t.Errorf("a loser got %v, want a conflict", err)
		}
	}
	if won != 1 {
		t.Errorf("%d operators won, want 1", won)
	}
}

func TestApplyReportsAppliedVersionAfterLostResponse(t *testing.T) {
	store, client := testStore(t)
	store.SetFaults(standin.StoreFaults{LostResponses: 1})
	version, err := Apply(context.Background(), client, "m", manifest.Manifest{}, 0)
	if err != nil || version != 1 {
		t.Fatalf("got version %d, %v; the write took effect", version, err)
	}
	store.SetFaults(standin.StoreFaults{Unavailable: true})
	if _, err := Apply(context.Background(), client, "m", manifest.Manifest{}, 1); err == nil || errors.Is(err, ErrConflict) {
		t.Fatalf("got %v while the store is away, want a failure that is no conflict", err)
	}
}
