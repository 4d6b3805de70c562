// Package deps pins the modules that packages under construction need.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alitto/pond/v2"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/jackc/pgx/v5"
	_ "github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/peterbourgon/ff/v4"
	_ "github.com/peterbourgon/ff/v4/ffhelp"
	_ "github.com/peterbourgon/ff/v4/ffyaml"
	_ "github.com/phuslu/log"
	_ "github.com/pkg/errors"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "google.golang.org/grpc"
	_ "google.golang.org/grpc/credentials/insecure"
	_ "google.golang.org/grpc/keepalive"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
