//go:build !linux

package gateway

import "time"

// sinceBoot returns 0: suspensions of the machine are not noticed.
func sinceBoot() time.Duration { return 0 }
