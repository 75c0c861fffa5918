//go:build !linux

package httputil

import "errors"

func peek(int) (Pending, error) { return Pending{}, errors.ErrUnsupported }
