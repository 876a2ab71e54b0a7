// Command standin runs a stand-in for a system around a node, for tests and benchmarks:
// a store, a target, a platform endpoint, a caller or a baseline node.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"celeryshelf/internal/standin"
	platform "celeryshelf/platform/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for a store, target, endpoint, caller or node",
		Commands: []*cli.Command{
			{
				Name: "store", Usage: "serve the etcd v3 JSON gateway from memory",
				Flags:  []cli.Flag{listenFlag()},
				Action: runStore,
			},
			{
				Name: "target", Usage: "serve a simulated target configured by a JSON file",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "config", Usage: "`FILE`", Required: true}},
				Action: runTarget,
			},
			{
				Name: "metadata", Usage: "serve the users' platform's metadata store from memory",
				Flags:  []cli.Flag{listenFlag()},
				Action: runMetadataStore,
			},
			{
				Name: "endpoint", Usage: "serve an endpoint of the users' platform configured by a JSON file",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "config", Usage: "`FILE`", Required: true}},
				Action: runEndpoint,
			},
			{
				Name: "put", Usage: "send a file with PUT and print the response status",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "url", Required: true},
					&cli.StringFlag{Name: "file", Required: true},
				},
				Action: putFile,
			},
			{
				Name: "baseline", Usage: "serve a node without overload control, configured by a JSON file, as a benchmark baseline",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "config", Usage: "`FILE`", Required: true}},
				Action: runBaseline,
			},
			callerCommand(),
		},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func callerCommand() *cli.Command {
	return &cli.Command{
		Name: "caller", Usage: "make one call and print its status, reason, execution state and body",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "to", Usage: "`IP:PORT` of a node's caller listener", Required: true},
			&cli.StringFlag{Name: "key", Usage: "API `KEY` to send"},
			&cli.StringFlag{Name: "method", Value: http.MethodGet},
			&cli.StringFlag{Name: "path", Required: true},
			&cli.StringFlag{Name: "host", Usage: "`HOST` header to send"},
			&cli.StringFlag{Name: "body", Usage: "`TEXT` to send as the body"},
			&cli.IntFlag{Name: "body-size", Usage: "send a body of this many `BYTES` instead"},
			&cli.BoolFlag{Name: "chunked", Usage: "send the body without a Content-Length"},
			&cli.StringSliceFlag{Name: "header", Usage: "header `NAME:VALUE` to send"},
			&cli.StringFlag{Name: "root", Usage: "ID of the root call", Value: "r1"},
			&cli.StringFlag{Name: "idempotency", Usage: "Idempotency-Key header to send"},
		},
		Action: sendCall,
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "`IP:PORT`", Required: true}
}

func serveHTTP(ctx context.Context, at netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); ctx.Err() == nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func runStore(ctx context.Context, c *cli.Command) error {
	at, err := netip.ParseAddrPort(c.String("listen"))
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	s := standin.NewStore()
	go s.ExpireLeases(ctx.Done())
	return serveHTTP(ctx, at, s)
}

func readConfig(c *cli.Command, out any) error {
	text, err := os.ReadFile(c.String("config"))
	if err != nil {
		return fmt.Errorf("read config: %w", err)
	}
	if err := json.Unmarshal(text, out); err != nil {
		return fmt.Errorf("decode %s: %w", c.String("config"), err)
	}
	return nil
}

func runTarget(ctx context.Context, c *cli.Command) error {
	var config standin.TargetConfig
	if err := readConfig(c, &config); err != nil {
		return err
	}
	return serveHTTP(ctx, config.Listen, standin.NewTarget(config))
}

func runBaseline(ctx context.Context, c *cli.Command) error {
	var config standin.BaselineConfig
	if err := readConfig(c, &config); err != nil {
		return err
	}
	return standin.NewBaseline(config).Serve(ctx)
}

func sendCall(ctx context.Context, c *cli.Command) error {
	url := "http://" + c.String("to") + c.String("path")
	text := c.String("body")
	if n := c.Int("body-size"); n > 0 {
		text = strings.Repeat("x", n)
	}
	req, err := http.NewRequestWithContext(ctx, c.String("method"), url, strings.NewReader(text))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Host = c.String("host")
	if c.Bool("chunked") {
		req.ContentLength = -1
	}
	req.Header.Set(standin.RootHeader, c.String("root"))
	for _, h := range c.StringSlice("header") {
		name, value, _ := strings.Cut(h, ":")
		req.Header.Set(name, value)
	}
	if c.String("key") != "" {
		req.Header.Set("Authorization", "Bearer "+c.String("key"))
	}
	if c.String("idempotency") != "" {
		req.Header.Set("Idempotency-Key", c.String("idempotency"))
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	fmt.Println(res.StatusCode, res.Header.Get("Celery-Reason"), res.Header.Get("Celery-Ran"))
	_, err = os.Stdout.ReadFrom(res.Body)
	return err
}

func runMetadataStore(ctx context.Context, c *cli.Command) error {
	at, err := netip.ParseAddrPort(c.String("listen"))
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	s := platform.NewStore()
	go s.ExpireLeases(ctx.Done())
	return serveHTTP(ctx, at, s)
}

func runEndpoint(ctx context.Context, c *cli.Command) error {
	var config platform.EndpointConfig
	if err := readConfig(c, &config); err != nil {
		return err
	}
	e := platform.NewEndpoint(config)
	go e.SendHeartbeats(ctx)
	return serveHTTP(ctx, config.Listen, e)
}

func putFile(ctx context.Context, c *cli.Command) error {
	text, err := os.ReadFile(c.String("file"))
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.String("url"), bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("put: %w", err)
	}
	_ = res.Body.Close()
	fmt.Println(res.StatusCode)
	return nil
}
