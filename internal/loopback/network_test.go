package loopback

import "testing"

// TestReservedNetworksDiffer guards against two runs that listen on the same addresses, and
// against networks that are never given back.
func TestReservedNetworksDiffer(t *testing.T) {
	first, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	second, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	if first.Prefix() == second.Prefix() {
		t.Errorf("two reservations got the network %s", first.Prefix())
	}
	for _, n := range []*Network{first, second} {
		if err := n.Release(); err != nil {
			t.Error(err)
		}
	}
	again, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = again.Release() }()
	if again.Prefix() != first.Prefix() {
		t.Errorf("the released network is %s, got %s", first.Prefix(), again.Prefix())
	}
}
