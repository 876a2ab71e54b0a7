package relay

import (
	"net/http"
	"strings"

	"celeryshelf/io/node"
)

// hopByHopHeaders are the hop-by-hop headers, which are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// copyHeader returns the end-to-end headers of h, without those of the protocol between
// nodes.
func copyHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	named := connectionNames(h)
	for name, values := range h {
		if strings.HasPrefix(name, node.HeaderPrefix) || named[name] {
			continue
		}
		out[name] = values
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

// connectionNames returns the names of the headers listed in Connection.
func connectionNames(h http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if named == nil {
				named = map[string]bool{}
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
