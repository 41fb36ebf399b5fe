// Package deps keeps the modules that packages under way will need in go.mod.
package deps

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/google/btree"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/google/subcommands"
	_ "github.com/pkg/errors"
	_ "github.com/uptrace/bunrouter"
	_ "go.uber.org/goleak"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "google.golang.org/protobuf/proto"
	_ "gopkg.in/ini.v1"
	_ "gopkg.in/tomb.v2"
	_ "pgregory.net/rapid"
)
