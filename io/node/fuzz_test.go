package node

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/member"
)

// FuzzMessage decodes an arbitrary message of a peer and passes it to the reducer, which
// must not panic.
func FuzzMessage(f *testing.F) {
	for _, method := range []string{
		methodSync, methodConfirmation, methodReport, methodPlan, methodManifestResponse, methodShardUpdate, methodShardQuery,
		methodTokenRequest, methodTokenGrant, methodClockResponse, methodIdempotencyRecord, methodHandover,
	} {
		f.Add(method, []byte(`{"from":"n1","body":{}}`))
	}
	f.Add(methodManifestRequest, []byte(`{"from":"n1","body":{"chunks":true,"version":1,"offset":-1}}`))
	f.Add(methodManifestChunk, []byte(`{"from":"n1","body":{"version":9,"size":9223372036854775807,"offset":-1,"data":"AAAA"}}`))
	f.Add(methodManifestChunk, []byte(`{"from":"n1","body":{"version":9,"size":3,"data":"AAAA"}}`))
	f.Add(methodManifestBusy, []byte(`{"from":"n1","body":{}}`))
	f.Add(methodTokenGrant, []byte(`{"from":"n1","body":{"ask":{"id":1,"shard":{"ws":"w","i":-1,"n":1}},"grant":{"n":9}}}`))
	f.Add(methodSync, []byte(`{"from":"n1","body":{"self":{"name":"n1","node":"10.0.0.1:0"},"members":[{}]}}`))
	f.Add(methodSync, []byte(`{"from":"n1","body":{"evac":{"rev":9,"domains":[{"name":"d","rev":18446744073709551615,"age":9223372036854775807}]}}}`))
	f.Add(methodConfirmation, []byte(`{"from":"n1","body":{"evac":{"rev":9,"domains":[{"name":"d"},{"name":"d"}],"age":-1}}}`))
	peer := member.Member{
		Name: "n1", Service: "maps", Domain: "d", Incarnation: 1, Revision: 1,
		NodeAddr: netip.MustParseAddrPort("10.0.0.1:1"), ControlAddr: netip.MustParseAddrPort("10.0.0.1:2"),
	}
	f.Fuzz(func(_ *testing.T, method string, params []byte) {
		m, err := decodeFrame(method, (*json.RawMessage)(&params))
		if err != nil {
			return
		}
		now := time.Unix(1000, 0)
		s := core.New(core.Settings{Self: member.Member{Name: "self", Service: "maps", Domain: "d"}, PlannedAdmission: true, ElectWatchers: true, Evacuation: 5 * time.Second})
		s.Step(now, &core.MemberStored{Member: peer})
		s.Step(now, &m)
		s.Step(now.Add(time.Second), &core.Tick{})
	})
}
