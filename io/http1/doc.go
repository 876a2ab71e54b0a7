// Package http1 sends requests over HTTP/1.1, each of them once and on a connection that
// carries no other meanwhile.
package http1
