// Package tcp configures TCP connections so that the loss of a peer is detected within
// seconds, even if the peer does not close the connection.
package tcp
