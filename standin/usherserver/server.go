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
	// shutdownTimeout is how long open requests may take at the end.
	shutdownTimeout = 500 * time.Millisecond
	// readHeaderTimeout bounds how long a client takes to send a header.
	readHeaderTimeout = 10 * time.Second
)

// server is one stand-in and its socket.
type server struct {
	Standin
	listener net.Listener
	http     *http.Server
	end      func()
}

// Serve serves the stand-ins until ctx ends. It logs a line "listening" for each once all of them listen.
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
	failed := make(chan error, len(servers))
	for _, s := range servers {
		log.Info("listening", "address", s.listener.Addr().String(), "kind", s.Kind, "name", s.Name)
		go s.serve(failed)
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		shutdown(servers)
		log.Info("stopped")
		return nil
	}
}

func listen(log *slog.Logger, standin Standin) (*server, error) {
	handler, end, err := standin.Settings.handler()
	if err != nil {
		return nil, errorx.Decorate(err, "%s %s", standin.Kind, standin.Name)
	}
	listener, err := net.Listen("tcp", standin.Settings.listenAddress())
	if err != nil {
		end()
		return nil, errorx.ExternalError.Wrap(err, "%s %s cannot listen", standin.Kind, standin.Name)
	}
	return &server{
		Standin:  standin,
		listener: listener,
		end:      end,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			ConnContext:       usherlife.ConnContext,
			ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		},
	}, nil
}

func (s *server) serve(failed chan<- error) {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		failed <- errorx.ExternalError.Wrap(err, "%s %s", s.Kind, s.Name)
	}
}

func (s *server) close() {
	s.end()
	s.http.Close()
	s.listener.Close()
}

// shutdown lets open requests finish for a short time.
func shutdown(servers []*server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var stopping sync.WaitGroup
	for _, s := range servers {
		stopping.Go(func() { s.http.Shutdown(ctx) })
	}
	stopping.Wait()
}
