// Package usherload is the other side of a measurement: engines, callers and peers, in a process of their own.
//
// The process that is measured starts a load process and asks it over its standard streams, so that its own processor
// time and memory are those of the product alone. Bytes between processes are counted by forwarders of datagrams that
// stand in the load process.
//
// # Usage
//
//	load, err := usherload.Start()
//	if err != nil {
//		return err
//	}
//	defer load.Close()
//	address, err := load.Engine(usherload.Engine{Gap: 36 * time.Millisecond})
//	result, err := load.Call(usherload.Calls{Address: address, Streams: 1000, Tokens: 200})
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

// Command is the argument that makes the program a load process.
const Command = "load"

type (
	// Load is a running load process.
	Load struct {
		command *exec.Cmd
		client  *rpc.Client
	}

	// Nothing is an empty argument or reply.
	Nothing struct{}

	// service answers the measured process.
	service struct {
		peers *peers
		feeds *feeds
	}

	stdio struct {
		io.ReadCloser
		io.WriteCloser
	}
)

// Start starts this program again as a load process.
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

// Serve answers the process at the standard streams until it goes away.
func Serve() error {
	server := rpc.NewServer()
	if err := server.RegisterName("Load", &service{}); err != nil {
		return err
	}
	server.ServeCodec(jsonrpc.NewServerCodec(stdio{os.Stdin, os.Stdout}))
	return nil
}

// Close ends the load process.
func (l *Load) Close() error {
	_ = l.client.Close()
	return l.command.Wait()
}

// Engine starts an engine that streams tokens from memory, and returns its address.
func (l *Load) Engine(engine Engine) (string, error) {
	var address string
	err := l.client.Call("Load.Engine", engine, &address)
	return address, err
}

// Call sends requests and returns what their callers saw.
func (l *Load) Call(calls Calls) (Seen, error) {
	var seen Seen
	err := l.client.Call("Load.Call", calls, &seen)
	return seen, err
}

// Peers starts other daemons and returns their addresses.
func (l *Load) Peers(peers Peers) ([]string, error) {
	var addresses []string
	err := l.client.Call("Load.Peers", peers, &addresses)
	return addresses, err
}

// Feeds starts a platform and the feeds of other daemons.
func (l *Load) Feeds(config Feeds) (Following, error) {
	var following Following
	err := l.client.Call("Load.Feeds", config, &following)
	return following, err
}

// Publish publishes a change and returns how long it took until it was in force in all other feeds.
func (l *Load) Publish() (time.Duration, error) {
	var took time.Duration
	err := l.client.Call("Load.Publish", Nothing{}, &took)
	return took, err
}

// Calls returns how often the platform has been called.
func (l *Load) Calls() (int, error) {
	var calls int
	err := l.client.Call("Load.Calls", Nothing{}, &calls)
	return calls, err
}

// Traffic returns what has crossed between the measured process and the peers.
func (l *Load) Traffic() (Traffic, error) {
	var traffic Traffic
	err := l.client.Call("Load.Traffic", Nothing{}, &traffic)
	return traffic, err
}

func (s stdio) Close() error {
	_ = s.WriteCloser.Close()
	return s.ReadCloser.Close()
}
