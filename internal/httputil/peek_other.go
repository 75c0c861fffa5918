//go:build !linux

package httputil

import "errors"

func peek(int) (bool, error) { return false, errors.ErrUnsupported }
