// Package release tells which build of the code runs.
package release

import "runtime/debug"

// Version returns the version of the main module and the revision that it was built from, as far as the build recorded them, or "unknown".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return version
}
