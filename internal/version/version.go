// Package version tells the version of the binaries.
package version

import "runtime/debug"

// Release is the release that the tree leads up to.
const Release = "0.1.0"

// String returns the release and, when known, the revision of the source.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Release
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return Release + " (" + s.Value + ")"
		}
	}
	return Release
}
