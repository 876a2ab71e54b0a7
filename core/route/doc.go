// Package route chooses the endpoint for each attempt of a call and tracks, for each
// route and workspace, the admission level that answers have reported.
package route
