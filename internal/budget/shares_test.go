package budget

import "testing"

// TestSharesFitTheLimits guards against shares that together exceed the memory or the
// descriptors of the settings, in which clients of several kinds would end the process.
func TestSharesFitTheLimits(t *testing.T) {
	for memory := 64; memory <= 4096; memory += memory / 16 {
		for descriptors := 256; descriptors <= 65536; descriptors += descriptors / 16 {
			s := NewShares(memory, descriptors)
			if got := s.Descriptors(); got >= descriptors {
				t.Fatalf("memory %d: shares of %d descriptors of %d", memory, got, descriptors)
			}
			// The collector runs when the heap has grown by half.
			if got := processBytes + s.Bytes()*3/2; got >= memory<<20 {
				t.Fatalf("descriptors %d: shares need %d MiB of %d", descriptors, got>>20, memory)
			}
		}
	}
}

// TestLargestHeadFits guards against a share in which a single request within the limits of
// 16,384 bytes, all of it short fields, is refused.
func TestLargestHeadFits(t *testing.T) {
	const limit, shortestField = 16384, len("a:\n")
	const fieldBytes = 224 // of package tcp
	s := NewShares(64, 256)
	if need := 2*limit + limit/shortestField*fieldBytes; s.Callers.HeadBytes < need || s.Nodes.HeadBytes < need {
		t.Errorf("shares of %d and %d bytes for heads, want %d for one", s.Callers.HeadBytes, s.Nodes.HeadBytes, need)
	}
}

// TestPlannerReachesAllNodes guards against a share in which the planner of a fleet of 300 nodes
// drops the plans for some of them. A node has 184 MiB and 4,100 descriptors there.
func TestPlannerReachesAllNodes(t *testing.T) {
	const nodes = 300
	if s := NewShares(184, 4100); s.Control.Conns < nodes || s.ControlDialled < nodes {
		t.Errorf("%d accepted and %d dialled control connections, want %d", s.Control.Conns, s.ControlDialled, nodes)
	}
}

// TestPoolRefusesWhatDoesNotFit guards against reservations beyond the pool's size, and
// against a pool that stays full after they are released.
func TestPoolRefusesWhatDoesNotFit(t *testing.T) {
	p := NewPool(100)
	if !p.Reserve(60) || p.Reserve(60) {
		t.Error("want the first reservation only")
	}
	p.Release(60)
	if !p.Reserve(100) {
		t.Error("a released pool is full")
	}
	evicted := false
	p.SetEvict(func() bool { evicted = true; p.Release(100); return true })
	if !p.Reserve(10) || !evicted {
		t.Error("a full pool did not evict")
	}
}
