// Package node speaks to the nodes of other targets: calls travel over HTTP/2
// without TLS where their outcomes go back in trailers, over HTTP/1.1 otherwise;
// control messages over jsonrpc2 on TCP.
package node
