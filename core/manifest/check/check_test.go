package check

import (
	"slices"
	"strings"
	"testing"
	"time"

	"celeryshelf/core/manifest"
)

// example returns a valid manifest that gives no warnings.
func example() *manifest.Manifest {
	second := manifest.Duration{Duration: time.Second}
	return &manifest.Manifest{
		Workspaces: []manifest.Workspace{{Name: "w", Rate: 10, Burst: 10, Keys: []manifest.Key{{Name: "k", Digest: manifest.DigestOf("secret")}}}},
		Services:   []manifest.Service{{Name: "a"}, {Name: "b"}},
		Routes: []manifest.Route{
			{Name: "page", Host: "h.example", Path: "/page/", Service: "a", Timeout: second, TargetLatency: second, MaxAttempts: 2},
			{Name: "order", Method: "POST", Path: "/order", Split: []manifest.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}, Timeout: second},
		},
	}
}

// TestWarningsNameEntriesWithoutEffect guards against a mistake that is valid and goes
// unnoticed until callers see it.
func TestWarningsNameEntriesWithoutEffect(t *testing.T) {
	fleet := Fleet{Services: map[string]Capacity{"a": {Targets: 2, Slots: 20, Rate: 10}, "b": {Targets: 1, Slots: 10, Rate: 10}}}
	for _, tt := range []struct {
		name   string
		change func(m *manifest.Manifest, c *Config)
		want   string // path and a part of the text, empty for no warning
	}{
		{"nothing wrong", func(*manifest.Manifest, *Config) {}, ""},
		{"no key", func(m *manifest.Manifest, _ *Config) {
			m.Workspaces[0].Keys = nil
			m.Routes[0].Public, m.Routes[1].Public = true, true
		}, "/workspaces/0/keys: workspace \"w\" has no key"},
		{"keyed route without keys", func(m *manifest.Manifest, _ *Config) { m.Workspaces = nil; m.Routes[0].Public = true }, "/routes/1: route \"order\" needs a key"},
		{"burst over the slots", func(m *manifest.Manifest, _ *Config) { m.Workspaces[0].Burst = 31 }, "/workspaces/0/burst: burst of 31 calls exceeds the 30 slots"},
		{"rates over the fleet", func(m *manifest.Manifest, _ *Config) { m.Workspaces[0].Rate = 61 }, "/workspaces: the rates sum up to 61"},
		{"unused service", func(m *manifest.Manifest, _ *Config) { m.Services = append(m.Services, manifest.Service{Name: "c"}) }, "/services/2: no route leads to service \"c\""},
		{"weight 0", func(m *manifest.Manifest, _ *Config) {
			m.Routes[1].Split = append(m.Routes[1].Split, manifest.WeightedService{Service: "a"})
		}, "/routes/1/split/2: weight 0"},
		{"host with port", func(m *manifest.Manifest, _ *Config) { m.Routes[0].Host = "h.example:80" }, "/routes/0/host: \"h.example:80\" never matches"},
		{"all methods taken", func(m *manifest.Manifest, _ *Config) {
			r := m.Routes[0]
			for _, method := range manifest.Methods() {
				r.Name, r.Method = "page "+method, method
				m.Routes = append(m.Routes, r)
			}
		}, "/routes/0: route \"page\" never matches"},
		{"objective over timeout", func(m *manifest.Manifest, _ *Config) { m.Routes[0].TargetLatency.Duration *= 2 }, "/routes/0/target: latency objective 2s"},
		{"attempts over targets", func(m *manifest.Manifest, _ *Config) { m.Routes[0].MaxAttempts = 3 }, "/routes/0/attempts: 3 attempts for a route with 2 targets"},
		{"targets unknown", func(m *manifest.Manifest, c *Config) { m.Routes[0].MaxAttempts, c.Fleet = 3, Fleet{} }, ""},
		{"nearly too large", func(_ *manifest.Manifest, c *Config) { c.Size, c.MaxSize = 81, 100 }, "/: the document has 81 bytes of at most 100"},
	} {
		m, c := example(), Config{Fleet: fleet}
		tt.change(m, &c)
		var got []string
		for _, v := range Warnings(m, c) {
			got = append(got, v.Error())
		}
		if tt.want == "" && len(got) > 0 || tt.want != "" && (len(got) != 1 || !strings.HasPrefix(got[0], tt.want)) {
			t.Errorf("%s: warnings %q, want one that starts with %q, or none if empty", tt.name, got, tt.want)
		}
	}
}

// TestDifferencesNameRefusedCalls guards against a change that refuses callers and is not
// told before it is sent.
func TestDifferencesNameRefusedCalls(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(m *manifest.Manifest)
		want   []string
	}{
		{"none", func(*manifest.Manifest) {}, nil},
		{"key replaced", func(m *manifest.Manifest) { m.Workspaces[0].Keys[0].Digest = manifest.DigestOf("other") },
			[]string{`removed key "w/k": calls with it are refused (refuses calls)`, `added key "w/k"`}},
		{"rate lowered", func(m *manifest.Manifest) { m.Workspaces[0].Rate = 5 }, []string{`changed workspace "w" rate: 10/s to 5/s (refuses calls)`}},
		{"rate unlimited", func(m *manifest.Manifest) { m.Workspaces[0].Rate = 0 }, []string{`changed workspace "w" rate: 10/s to no limit`}},
		{"workspace removed", func(m *manifest.Manifest) { m.Workspaces = nil },
			[]string{`removed workspace "w": its 1 keys are no longer accepted (refuses calls)`}},
		{"route removed", func(m *manifest.Manifest) { m.Routes = m.Routes[1:] },
			[]string{`removed route "page": any method h.example/page/ matches no other route (refuses calls)`}},
		{"route replaced by a shorter one", func(m *manifest.Manifest) { m.Routes[0].Name, m.Routes[0].Host = "all", "" },
			[]string{`removed route "page": any method h.example/page/ goes to route "all"`, `added route "all": any method /page/ to a`}},
		{"route moved", func(m *manifest.Manifest) { m.Routes[1].Split, m.Routes[1].Service = nil, "b" }, []string{`changed route "order" services: a (1), b (1) to b`}},
		{"cold targets", func(m *manifest.Manifest) { m.Services[0].ColdRate = 13 }, []string{`changed service "a" rate of cold targets: no limit to 13/s`}},
		{"body limit introduced", func(m *manifest.Manifest) { m.Limits.MaxBodyBytes = 10 }, []string{`changed limit on body bytes: 0 to 10 (refuses calls)`}},
	} {
		next := example()
		tt.change(next)
		var got []string
		for _, c := range Differences(example(), next) {
			got = append(got, c.String())
		}
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
	}
}
