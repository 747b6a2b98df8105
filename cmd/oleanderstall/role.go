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

// roleCommand runs an entry or a sidecar.
type roleCommand struct {
	Settings string `long:"settings" required:"yes" env:"OLEANDERSTALL_CONFIG" description:"Settings file, JSON with comments."`
	role     string
}

// RoleError reports a settings file of another role.
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
	// Reload takes settings that were changed.
	Reload(s *checker.Settings)
}

// Execute implements flags.Commander.
func (c *roleCommand) Execute([]string) error {
	s, err := checker.Read(c.Settings)
	if err != nil {
		return err
	}
	if s.Role != c.role {
		return &RoleError{Want: c.role, Got: s.Role}
	}
	runner.Fit(s)
	lines := logger.New(logger.Usual(s.Log.Level), s.Name, os.Stdout, timer.Now)
	defer lines.Close()
	l := lines.Log()
	// Libraries that write to the standard log write to this one.
	stdlog.SetFlags(0)
	stdlog.SetOutput(l.Std("", 0).Writer())
	p, err := start(s, l)
	if err != nil {
		return err
	}
	p.Meter().Dropped(lines.Dropped)
	a := p.Addresses()
	l.Info().Str("peer", a.Peer).Str("admin", a.Admin).Str("callers", a.Callers).
		Str("operators", a.Operators).Msg("start: ready")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	r := runner.NewReloader(c.Settings, s, p.Reload, l)
	go r.Run(ctx, reload)
	p.Run(ctx)
	// A process that was listed as leaving ends without a signal.
	stop()
	<-r.Done()
	return nil
}

func start(s *checker.Settings, l *log.Logger) (process, error) {
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

// standinCommand runs a stand-in on loopback.
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
	h, err := c.handler()
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	lines := logger.New(logger.Usual("info"), "standin-"+c.Args.Kind, os.Stdout, timer.Now)
	defer lines.Close()
	lines.Log().Info().Str("listen", l.Addr().String()).Msg("start: ready")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.Serve(l); ctx.Err() == nil {
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

func (c *standinCommand) handler() (http.Handler, error) {
	switch c.Args.Kind {
	case "platform":
		return imitator.NewPlatform(), nil
	case "engine":
		return imitator.NewEngine(imitator.EngineTerms{
			Capacity: c.Capacity,
			Fenced:   c.Fenced,
			Token:    c.Token,
			Weights:  c.Weights,
		}), nil
	case "service":
		return imitator.NewService(c.Work), nil
	}
	return nil, &KindError{Kind: c.Args.Kind}
}
