package manifest

import (
	"testing"
	"time"
)

// TestColdSettingsAreChecked guards against a service whose targets could receive no call, or
// would stay cold for ever, because of a mistake in the manifest.
func TestColdSettingsAreChecked(t *testing.T) {
	for _, tt := range []struct {
		service Service
		path    string
	}{
		{Service{Name: "s"}, ""},
		{Service{Name: "s", ColdRate: 13, ColdDuration: Duration{Duration: 10 * time.Second}}, ""},
		{Service{Name: "s", ColdRate: -1}, "/services/0/coldrate"},
		{Service{Name: "s", ColdDuration: Duration{Duration: -time.Second}}, "/services/0/coldtime"},
		{Service{Name: "s", ColdDuration: Duration{Duration: 2 * MaxColdTime}}, "/services/0/coldtime"},
	} {
		m := Manifest{Services: []Service{tt.service}}
		found := ""
		for _, v := range m.Validate() {
			found = v.Path
		}
		if found != tt.path {
			t.Errorf("%+v: violation at %q, want %q", tt.service, found, tt.path)
		}
	}
}
