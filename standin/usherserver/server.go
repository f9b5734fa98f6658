package usherserver

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/standin/internal/usherlife"
)

const (
	// shutdownTimeout is the time that open requests have to finish during shutdown.
	shutdownTimeout = 500 * time.Millisecond
	// readHeaderTimeout is the time that a client has to send the request header.
	readHeaderTimeout = 10 * time.Second
)

// server is a stand-in with its listener and HTTP server.
type server struct {
	Standin
	listener     net.Listener
	http         *http.Server
	closeStandin func()
}

// Serve serves the stand-ins until ctx is done. When all of them are listening, it logs a message "listening" for each.
func Serve(ctx context.Context, log *slog.Logger, standins ...Standin) error {
	var servers []*server
	defer func() {
		for _, s := range servers {
			s.close()
		}
	}()
	for _, standin := range standins {
		s, err := listen(log, standin)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	failures := make(chan error, len(servers))
	for _, s := range servers {
		log.Info("listening", "address", s.listener.Addr().String(), "kind", s.Kind, "name", s.Name)
		go s.serve(failures)
	}
	select {
	case err := <-failures:
		return err
	case <-ctx.Done():
		shutdown(servers)
		log.Info("stopped")
		return nil
	}
}

func listen(log *slog.Logger, standin Standin) (*server, error) {
	handler, closeStandin, err := standin.Settings.handler()
	if err != nil {
		return nil, errorx.Decorate(err, "cannot start %s %s", standin.Kind, standin.Name)
	}
	listener, err := net.Listen("tcp", standin.Settings.listenAddress())
	if err != nil {
		closeStandin()
		return nil, errorx.ExternalError.Wrap(err, "cannot listen for %s %s", standin.Kind, standin.Name)
	}
	return &server{
		Standin:      standin,
		listener:     listener,
		closeStandin: closeStandin,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			ConnContext:       usherlife.ConnContext,
			ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		},
	}, nil
}

func (s *server) serve(failures chan<- error) {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		failures <- errorx.ExternalError.Wrap(err, "server of %s %s failed", s.Kind, s.Name)
	}
}

func (s *server) close() {
	s.closeStandin()
	s.http.Close()
	s.listener.Close()
}

// shutdown stops the servers and waits up to shutdownTimeout for open requests.
func shutdown(servers []*server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var stopping sync.WaitGroup
	for _, s := range servers {
		stopping.Go(func() { s.http.Shutdown(ctx) })
	}
	stopping.Wait()
}
