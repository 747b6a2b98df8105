package main

import (
	"context"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"oleanderstall/checker"
	"oleanderstall/imitator"
	"oleanderstall/logger"
	"oleanderstall/meter"
	"oleanderstall/runner"
	"oleanderstall/timer"
)

// roleCommand runs an entry or a sidecar until it is stopped.
type roleCommand struct {
	Settings string `long:"settings" required:"yes" env:"OLEANDERSTALL_CONFIG" description:"Settings file, JSON with comments."`
	role     string
}

// RoleError reports that a settings file is for another role than the command's.
type RoleError struct {
	Want string
	Got  string
}

// Error names both roles.
func (e *RoleError) Error() string {
	return fmt.Sprintf("the settings are for the role %s, not %s", e.Got, e.Want)
}

// process is a started entry or sidecar.
type process interface {
	Addresses() runner.Addresses
	Meter() *meter.Meter
	Run(ctx context.Context)
	// Reload applies changed settings.
	Reload(s *checker.Settings)
}

// Execute implements flags.Commander.
func (c *roleCommand) Execute([]string) error {
	settings, err := checker.Read(c.Settings)
	if err != nil {
		return err
	}
	if settings.Role != c.role {
		return &RoleError{Want: c.role, Got: settings.Role}
	}
	runner.LimitRuntime(settings)
	output := logger.New(logger.DefaultOptions(settings.Log.Level), settings.Name, os.Stdout, timer.Now)
	defer output.Close()
	l := output.Log()
	// Redirect the output of libraries that use the standard logger.
	stdlog.SetFlags(0)
	stdlog.SetOutput(l.Std("", 0).Writer())
	started, err := startProcess(settings, l)
	if err != nil {
		return err
	}
	started.Meter().RegisterDroppedLines(output.Dropped)
	addresses := started.Addresses()
	l.Info().Str("peer", addresses.Peer).Str("admin", addresses.Admin).Str("callers", addresses.Callers).
		Str("operators", addresses.Operators).Msg("start: ready")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	reloader := runner.NewReloader(c.Settings, settings, started.Reload, l)
	go reloader.Run(ctx, reload)
	started.Run(ctx)
	// Run also returns without a signal if the instance list marks the process as
	// leaving, so end the reloader explicitly.
	stop()
	<-reloader.Done()
	return nil
}

// startProcess starts the process of the settings' role.
func startProcess(s *checker.Settings, l *log.Logger) (process, error) {
	switch {
	case s.Hosted != nil && s.Role == "entry":
		return runner.StartHostedEntry(s, l)
	case s.Hosted != nil:
		return runner.StartHostedSidecar(s, l)
	}
	if s.Role == "entry" {
		return runner.StartEntry(s, l)
	}
	return runner.StartSidecar(s, l)
}

// checkCommand checks a settings file.
type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if _, err := checker.Read(c.Args.File); err != nil {
		return err
	}
	fmt.Println("no faults")
	return nil
}

// standinCommand runs a stand-in of an outside system, by default on the loopback
// interface.
type standinCommand struct {
	Listen   string        `long:"listen" default:"127.0.0.1:0" description:"IP:port to listen on."`
	Capacity uint64        `long:"capacity" default:"17179869184" description:"Engine memory in bytes."`
	Token    time.Duration `long:"token" default:"2ms" description:"Time between two tokens."`
	Fenced   bool          `long:"fenced" description:"Refuse orders with an old fencing number."`
	Weights  string        `long:"weights" description:"URL of the platform stand-in's weight store."`
	Work     time.Duration `long:"work" default:"5ms" description:"Time the service works on an order."`
	Args     struct {
		Kind string `positional-arg-name:"KIND" choice:"platform" choice:"engine" choice:"service"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *standinCommand) Execute([]string) error {
	handler, err := c.newHandler()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	output := logger.New(logger.DefaultOptions("info"), "standin-"+c.Args.Kind, os.Stdout, timer.Now)
	defer output.Close()
	output.Log().Info().Str("listen", listener.Addr().String()).Msg("start: ready")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); ctx.Err() == nil {
		return eris.Wrap(err, "serve")
	}
	return nil
}

// KindError reports an unknown kind of stand-in.
type KindError struct {
	Kind string
}

// Error names the kind.
func (e *KindError) Error() string { return "no stand-in of kind " + e.Kind }

// newHandler returns the handler of the kind of stand-in.
func (c *standinCommand) newHandler() (http.Handler, error) {
	switch c.Args.Kind {
	case "platform":
		return imitator.NewPlatform(), nil
	case "engine":
		return imitator.NewEngine(imitator.EngineOptions{
			Capacity:      c.Capacity,
			Fenced:        c.Fenced,
			TokenInterval: c.Token,
			WeightStore:   c.Weights,
		}), nil
	case "service":
		return imitator.NewService(c.Work), nil
	}
	return nil, &KindError{Kind: c.Args.Kind}
}
