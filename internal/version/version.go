package version

import "runtime/debug"

// String returns the revision that the program was built from and the Go version. The
// revision is unknown if the build did not record it, and ends with +changes if the working
// tree was modified.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, changed := "unknown", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = s.Value
		case "vcs.modified":
			if s.Value == "true" {
				changed = "+changes"
			}
		}
	}
	return revision + changed + " " + info.GoVersion
}
