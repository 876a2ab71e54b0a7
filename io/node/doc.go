// Package node speaks to the nodes of other targets: calls travel over HTTP/2
// without TLS, control messages over jsonrpc2 on TCP.
package node
