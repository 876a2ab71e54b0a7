// Command standin runs a stand-in for a part around the system, for tests and the
// bench: the platform's store, a target, or callers.
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
		Usage: "play the store, a target, or callers on loopback",
		Commands: []*cli.Command{
			{
				Name: "store", Usage: "serve an etcd v3 JSON gateway from memory",
				Flags:  []cli.Flag{listenFlag()},
				Action: runStore,
			},
			{
				Name: "target", Usage: "serve a target described by a JSON file",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "config", Usage: "`FILE`", Required: true}},
				Action: runTarget,
			},
			{
				Name: "metadata", Usage: "serve the users' platform's metadata store from memory",
				Flags:  []cli.Flag{listenFlag()},
				Action: runMetadataStore,
			},
			{
				Name: "endpoint", Usage: "serve an endpoint of the users' platform described by a JSON file",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "config", Usage: "`FILE`", Required: true}},
				Action: runEndpoint,
			},
			{
				Name: "put", Usage: "send a file and print the status",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "url", Required: true},
					&cli.StringFlag{Name: "file", Required: true},
				},
				Action: putFile,
			},
			{
				Name: "baseline", Usage: "serve a plain node described by a JSON file, to measure against",
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
		Name: "caller", Usage: "make one call and print its status, headers and body",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "to", Usage: "`IP:PORT` of a node's callers' side", Required: true},
			&cli.StringFlag{Name: "key", Usage: "`KEY` to present"},
			&cli.StringFlag{Name: "method", Value: http.MethodGet},
			&cli.StringFlag{Name: "path", Required: true},
			&cli.StringFlag{Name: "host", Usage: "`HOST` to name"},
			&cli.StringFlag{Name: "body", Usage: "`TEXT` to send"},
			&cli.IntFlag{Name: "body-size", Usage: "`BYTES` to send instead"},
			&cli.BoolFlag{Name: "chunked", Usage: "send the body without its length"},
			&cli.StringSliceFlag{Name: "header", Usage: "`NAME:VALUE` to send"},
			&cli.StringFlag{Name: "root", Usage: "name of the root call", Value: "r1"},
			&cli.StringFlag{Name: "idempotency", Usage: "Idempotency-Key"},
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
