// Package usherload runs the load of a benchmark, that is engines, callers and peers, in a process of its own.
//
// The measured process starts a load process and controls it by JSON-RPC over its standard streams, so that the processor
// time and memory of the measured process are those of the code under test alone. The datagrams between the two processes
// pass through forwarders in the load process, which count their bytes.
//
// # Usage
//
//	load, err := usherload.Start()
//	if err != nil {
//		return err
//	}
//	defer load.Close()
//	address, err := load.Engine(usherload.Engine{Gap: 36 * time.Millisecond})
//	stats, err := load.Call(usherload.StreamRequests{URL: "http://" + address + "/v1/generations", Body: body, Streams: 1000})
//
// In the load process:
//
//	usherload.Serve()
package usherload

import (
	"io"
	"net/rpc"
	"net/rpc/jsonrpc"
	"os"
	"os/exec"
	"time"
)

// Command is the program's argument that starts it as a load process.
const Command = "load"

type (
	// Load is a running load process.
	Load struct {
		command *exec.Cmd
		client  *rpc.Client
	}

	// Empty is the argument of an RPC that takes none.
	Empty struct{}

	// service implements the RPCs of the load process.
	service struct {
		peers *peers
		feeds *feeds
	}

	stdio struct {
		io.ReadCloser
		io.WriteCloser
	}
)

// Start runs this program's executable as a load process.
func Start() (*Load, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, Command)
	command.Stderr = os.Stderr
	in, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	return &Load{command: command, client: jsonrpc.NewClient(stdio{out, in})}, nil
}

// Serve serves RPCs over the standard streams until stdin is closed.
func Serve() error {
	server := rpc.NewServer()
	if err := server.RegisterName("Load", &service{}); err != nil {
		return err
	}
	server.ServeCodec(jsonrpc.NewServerCodec(stdio{os.Stdin, os.Stdout}))
	return nil
}

// Close stops the load process and waits for its exit.
func (l *Load) Close() error {
	_ = l.client.Close()
	return l.command.Wait()
}

// Engine starts an engine without a model and returns its address.
func (l *Load) Engine(engine Engine) (string, error) {
	var address string
	err := l.client.Call("Load.Engine", engine, &address)
	return address, err
}

// Call sends concurrent requests and returns the statistics of their responses.
func (l *Load) Call(requests StreamRequests) (StreamStats, error) {
	var stats StreamStats
	err := l.client.Call("Load.Call", requests, &stats)
	return stats, err
}

// Peers starts the peers of the measured process and returns their addresses.
func (l *Load) Peers(peers Peers) ([]string, error) {
	var addresses []string
	err := l.client.Call("Load.Peers", peers, &addresses)
	return addresses, err
}

// Feeds starts a platform and the configuration feeds of other daemons.
func (l *Load) Feeds(config Feeds) (FeedEndpoints, error) {
	var endpoints FeedEndpoints
	err := l.client.Call("Load.Feeds", config, &endpoints)
	return endpoints, err
}

// Publish publishes a configuration change and returns the time until it took effect in all feeds of the load process.
func (l *Load) Publish() (time.Duration, error) {
	var took time.Duration
	err := l.client.Call("Load.Publish", Empty{}, &took)
	return took, err
}

// PlatformCalls returns the number of calls that the platform has received.
func (l *Load) PlatformCalls() (int, error) {
	var calls int
	err := l.client.Call("Load.Calls", Empty{}, &calls)
	return calls, err
}

// Traffic returns the traffic so far between the measured process and its peers.
func (l *Load) Traffic() (Traffic, error) {
	var traffic Traffic
	err := l.client.Call("Load.Traffic", Empty{}, &traffic)
	return traffic, err
}

func (s stdio) Close() error {
	_ = s.WriteCloser.Close()
	return s.ReadCloser.Close()
}
