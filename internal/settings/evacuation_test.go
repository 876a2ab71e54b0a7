package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
)

// renderTemplate renders the template as the platform does: a section only if its value exists,
// and each value by its name.
func renderTemplate(t *testing.T, values map[string]string) []byte {
	t.Helper()
	text, err := os.ReadFile("../../deploy/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	out := string(text)
	for {
		section := regexp.MustCompile(`(?s)\{\{#([a-z0-9.-]+)\}\}`).FindStringSubmatch(out)
		if section == nil {
			break
		}
		start, end := section[0], "{{/"+section[1]+"}}"
		before, rest, _ := strings.Cut(out, start)
		body, after, found := strings.Cut(rest, end)
		if !found {
			t.Fatalf("section %s has no end", section[1])
		}
		if _, known := values[section[1]]; !known {
			body = ""
		}
		out = before + body + after
	}
	return regexp.MustCompile(`\{\{([a-z0-9.-]+)(\|json)?\}\}`).ReplaceAllFunc([]byte(out), func(m []byte) []byte {
		name := strings.TrimSuffix(strings.Trim(string(m), "{}"), "|json")
		value, known := values[name]
		switch {
		case strings.HasSuffix(string(m), "|json}}") && !known:
			value = `"127.0.0.1:1"`
		case !known:
			value = "1"
		}
		return []byte(value)
	})
}

// TestTemplateRendersTheBoundOfEvacuations guards against a node that does not start where the
// platform states no bound on evacuations, or that ignores the one it states.
func TestTemplateRendersTheBoundOfEvacuations(t *testing.T) {
	values := map[string]string{"ip-address": "127.0.0.1", "internal-port-range.0": "8080", "internal-port-range.1": "8081", "limits.file-descriptors": "4096"}
	for _, tt := range []struct {
		bound string
		want  time.Duration
	}{{"", 0}, {"5000", 5 * time.Second}} {
		if tt.bound != "" {
			values["bounds.evacuation-ms"] = tt.bound
		}
		s, err := DecodeSidecar("settings.json", renderTemplate(t, values))
		if err != nil {
			t.Errorf("bound %q: %v", tt.bound, err)
			continue
		}
		if s.Evacuation.Duration != tt.want || s.Static().Evacuation != tt.want {
			t.Errorf("bound %q: evacuation is %s, want %s", tt.bound, s.Evacuation, tt.want)
		}
	}
}

// TestNegativeBoundOfEvacuationsIsRefused guards against a bound that switches the feature on
// and lets a starting node use its target at once.
func TestNegativeBoundOfEvacuationsIsRefused(t *testing.T) {
	s := Sidecar{}
	s.Evacuation.Duration = -time.Second
	for _, v := range s.Validate() {
		if v.Path == "/evacuation" {
			return
		}
	}
	t.Error("no violation is reported")
}
