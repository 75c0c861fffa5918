//go:build !linux

package httputil

import (
	"errors"
	"time"
)

func peek(int) (Pending, error) { return Pending{}, errors.ErrUnsupported }

func sinceLastSegment(int) (time.Duration, error) { return 0, errors.ErrUnsupported }
