// Package node is the protocol between nodes. Calls travel over HTTP/2 without TLS if
// their outcomes are returned in trailers, and over HTTP/1.1 otherwise. Control
// messages travel over JSON-RPC 2.0 on TCP.
package node
