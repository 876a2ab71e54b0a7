// Package http1 is an HTTP/1.1 client that sends each request exactly once, on a
// connection that carries no other request at the same time.
package http1
