//go:build review

package fleet

import (
	"strconv"
	"time"
)

func formatMS(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
