package ushermeasure

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/samphireusher/samphireusher/bench/usherload"
	"github.com/samphireusher/samphireusher/service/ushertarget"
)

const (
	reportCount = 400
	reportEvery = 5 * time.Millisecond
	// segmentHeaderBytes is the size of the headers of a TCP segment with timestamps over IPv4. A report takes one
	// segment each way and an acknowledgement of each.
	segmentHeaderBytes = 52
	segmentsPerReport  = 4
)

type (
	// meteredListener counts the bytes of the connections that it accepts.
	meteredListener struct {
		net.Listener
		bytes *atomic.Int64
	}

	meteredConn struct {
		net.Conn
		bytes *atomic.Int64
	}
)

// runReport measures the cost of reading one load report of an engine.
func runReport(plan Plan, write Writer) error {
	load, err := usherload.Start()
	if err != nil {
		return err
	}
	defer load.Close()
	engine, err := load.Engine(usherload.Engine{})
	if err != nil {
		return err
	}
	address := netip.MustParseAddrPort(engine)
	client := ushertarget.NewClient()
	bytes, err := reportBytes(client)
	if err != nil {
		return err
	}
	for repeat := range plan.Repeats {
		before := takeSample()
		for range reportCount {
			if _, err := client.Report(context.Background(), address); err != nil {
				return err
			}
			time.Sleep(reportEvery)
		}
		_, processor, _ := takeSample().since(before)
		r := recorder{plan: plan, repeat: repeat, write: write}
		err := r.recordAll(
			measurement{"reader_processor", "us/report", float64(processor.Nanoseconds()) / 1e3 / reportCount},
			measurement{"reader_bytes", "B/report", bytes + segmentsPerReport*segmentHeaderBytes},
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// reportBytes returns the size of a report and its request, counted by a server in this process.
func reportBytes(client *ushertarget.Client) (float64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	var bytes atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(usherload.ServeReport), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(meteredListener{listener, &bytes}) }()
	defer server.Close()
	address := netip.MustParseAddrPort(listener.Addr().String())
	for range reportCount {
		if _, err := client.Report(context.Background(), address); err != nil {
			return 0, err
		}
	}
	return float64(bytes.Load()) / reportCount, nil
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{conn, l.bytes}, nil
}

// Read implements net.Conn.
func (c *meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}
