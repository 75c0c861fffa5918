//go:build deps

// Package deps keeps the modules that are in use on unmerged branches in go.mod.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/coder/websocket"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/julienschmidt/httprouter"
	_ "github.com/samber/oops"
	_ "github.com/sourcegraph/conc/pool"
	_ "gopkg.in/yaml.v3"
	_ "k8s.io/klog/v2"
)
