// Package deps keeps the module's declared libraries while the packages that
// use them are being written; it goes when they are.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/coder/websocket"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/gorilla/mux"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
