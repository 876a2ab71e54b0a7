// Package tcp opens TCP connections whose loss is noticed within seconds, also
// when the other side falls silent without closing them.
package tcp
