// Package route chooses the endpoint that carries a call and remembers, for each
// route and workspace, the admission level that answers have reported.
package route
