package loopback

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
)

const (
	// The networks 127.firstOctet.0.0/16 to 127.lastOctet.0.0/16 are given out.
	firstOctet = 40
	lastOctet  = 199
	// A reserved network is marked by a listener at this address and port within it.
	markerHost = 254
	markerPort = 47001
)

// Network is a reserved network 127.X.0.0/16.
type Network struct {
	octet  byte
	marker net.Listener
}

// Reserve reserves a network that no other process uses. It returns an error if all are in
// use.
func Reserve() (*Network, error) {
	const count = lastOctet - firstOctet + 1
	for i := range count {
		octet := byte(firstOctet + (os.Getpid()+i)%count)
		marker := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, octet, 255, markerHost}), markerPort)
		l, err := net.Listen("tcp", marker.String())
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("reserve loopback network: %w", err)
		}
		return &Network{octet: octet, marker: l}, nil
	}
	return nil, fmt.Errorf("reserve loopback network: all %d are in use", count)
}

// Addr returns the address 127.X.a.b of the network.
func (n *Network) Addr(a, b byte) netip.Addr { return netip.AddrFrom4([4]byte{127, n.octet, a, b}) }

// Prefix returns the first two octets of the network's addresses, as "127.X".
func (n *Network) Prefix() string { return fmt.Sprintf("127.%d", n.octet) }

// Release makes the network available to other processes.
func (n *Network) Release() error {
	if err := n.marker.Close(); err != nil {
		return fmt.Errorf("release loopback network: %w", err)
	}
	return nil
}
