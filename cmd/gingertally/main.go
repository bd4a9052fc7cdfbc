// Command gingertally is the cluster scheduler's daemon and command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"gingertally/internal/config"
	"gingertally/internal/daemon"
	"gingertally/internal/operator"
)

type cli struct {
	Serve       serveCmd       `cmd:"" default:"withargs" help:"Run a controller with the platform's settings file."`
	CheckConfig checkConfigCmd `cmd:"" name:"check-config" help:"Check the settings files without starting anything."`
	Version     versionCmd     `cmd:"" help:"Print the version."`
	Submit      submitCmd      `cmd:"" help:"Submit a job."`
	Get         getCmd         `cmd:"" help:"Print a job's state."`
	Cancel      cancelCmd      `cmd:"" help:"Cancel a job, unless it is done."`
	Wait        waitCmd        `cmd:"" help:"Wait until a job is done or cancelled."`
	Status      statusCmd      `cmd:"" help:"Show leader, machines, and why jobs wait."`
}

// settingsFiles are the files that a controller reads at its start.
type settingsFiles struct {
	Config           string `required:"" placeholder:"FILE" help:"The platform's settings (JSON)."`
	OperatorSettings string `placeholder:"FILE" env:"GINGERTALLY_OPERATOR_SETTINGS" help:"The operators' own settings (protobuf text format)."`
}

func (f *settingsFiles) load() (*config.Settings, operator.Settings, error) {
	cfg, err := config.Load(f.Config)
	if err != nil {
		return nil, operator.Settings{}, err
	}
	op, err := operator.Load(f.OperatorSettings)
	return cfg, op, err
}

type serveCmd struct{ settingsFiles }

func (c *serveCmd) Run() error {
	cfg, op, err := c.load()
	if err != nil {
		return err
	}
	d, err := daemon.New(cfg, op)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := d.Run(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

type checkConfigCmd struct{ settingsFiles }

func (c *checkConfigCmd) Run() error {
	if _, _, err := c.load(); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("gingertally", daemon.Version)
	return nil
}

func logLevel() slog.Level {
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "error":
		return slog.LevelError
	case "debug":
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()})))
	var c cli
	ctx := kong.Parse(&c, kong.Name("gingertally"), kong.Description("A cluster scheduler: pipelines of jobs on rented machines."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "gingertally:", err)
		var e exitError
		if errors.As(err, &e) {
			os.Exit(e.code)
		}
		os.Exit(1)
	}
}
