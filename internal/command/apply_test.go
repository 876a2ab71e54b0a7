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

// TestConcurrentAppliesDoNotOverwriteEachOther guards against a lost update: operators that
// apply on the same base at once must not both succeed.
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
	succeeded := 0
	for _, err := range results {
		switch {
		case err == nil:
			succeeded++
		case !errors.Is(err, ErrConflict):
			t.Errorf("concurrent Apply: got error %v, want ErrConflict", err)
		}
	}
	if succeeded != 1 {
		t.Errorf("%d concurrent calls of Apply succeeded, want 1", succeeded)
	}
}

// TestApplyReportsAppliedVersionAfterLostResponse guards against a wrong result when the
// response to the write is lost: a write that took effect is not a conflict, and a store
// that cannot be read back is not one either.
func TestApplyReportsAppliedVersionAfterLostResponse(t *testing.T) {
	store, client := testStore(t)
	store.SetFaults(standin.StoreFaults{LostResponses: 1})
	version, err := Apply(context.Background(), client, "m", manifest.Manifest{}, 0)
	if err != nil || version != 1 {
		t.Fatalf("Apply with a lost response: got version %d, error %v, want version 1, as the write took effect", version, err)
	}
	store.SetFaults(standin.StoreFaults{Unavailable: true})
	if _, err := Apply(context.Background(), client, "m", manifest.Manifest{}, 1); err == nil || errors.Is(err, ErrConflict) {
		t.Fatalf("Apply with an unavailable store: got error %v, want one other than ErrConflict", err)
	}
}
