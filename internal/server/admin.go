package server

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/report"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

const (
	// adminTimeout bounds both reading a request and shutting the listener down.
	adminTimeout = 5 * time.Second
	// adminAnswerTimeout bounds an answer; a processor profile takes 30 s by default.
	adminAnswerTimeout = time.Minute
	// maxAdminHeaderBytes limits the headers of a request.
	maxAdminHeaderBytes = 8 << 10
)

// statusSource provides the host's status and readiness to the admin listener.
type statusSource interface {
	Status() report.Status
	Ready() bool
}

// adminHandler returns the handler for metrics, health checks, the status page
// and profiles.
func adminHandler(source statusSource, counters *telemetry.Counters) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !source.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(source.Status())
	})
	mux.HandleFunc("GET /metrics.json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(counters.String()))
	})
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

// serveAdmin serves handler until ctx ends, then shuts down within adminTimeout.
func serveAdmin(ctx context.Context, listener net.Listener, handler http.Handler) error {
	srv := &http.Server{
		Handler: handler, ReadTimeout: adminTimeout, WriteTimeout: adminAnswerTimeout, IdleTimeout: adminAnswerTimeout,
		MaxHeaderBytes: maxAdminHeaderBytes,
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), adminTimeout)
		defer cancel()
		_ = srv.Shutdown(stopCtx)
	}()
	err := srv.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-stopped
		return nil
	}
	return errors.Wrap(err, "admin listener")
}
