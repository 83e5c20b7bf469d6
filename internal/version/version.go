// Package version provides the version of the binaries.
package version

import "runtime/debug"

// Release is the upcoming release of this source tree.
const Release = "0.1.0"

// String returns the release and, if known, the source revision.
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
