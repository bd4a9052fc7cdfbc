// Command gingertally is the cluster scheduler. It runs a controller (serve), checks a controller's settings
// (check-config), prints its version (version), and has commands for users (submit, get, cancel, wait) and
// for operators (status, admission, drain, differences).
//
// A command that fails prints one line to standard error. A failed call names its operation and the
// controller that was asked. The exit codes are in errors.go.
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
	"gingertally/internal/controller"
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
	Admission   admissionCmd   `cmd:"" help:"Show which classes of jobs are refused now, and why."`
	Drain       drainCmd       `cmd:"" help:"Empty machines in stages, within disruption budgets, and give them back."`
	Differences differencesCmd `cmd:"" help:"Show how machines and records differed in this term, and what isn't settled."`
}

// settingsFiles holds the flags that name a controller's settings files or override settings.
type settingsFiles struct {
	Config           string `required:"" placeholder:"FILE" help:"The platform's settings (JSON)."`
	OperatorSettings string `placeholder:"FILE" env:"GINGERTALLY_OPERATOR_SETTINGS" help:"The operators' own settings (protobuf text format)."`
	Standby          bool   `help:"Switch the warm standby on, whatever the operators' settings say."`
	Admission        bool   `help:"Switch admission control on, whatever the operators' settings say."`
}

// load reads and validates both settings files, and applies the flags that override settings.
func (f *settingsFiles) load() (*config.Settings, operator.Settings, error) {
	settings, err := config.Load(f.Config)
	if err != nil {
		return nil, operator.Settings{}, err
	}
	operatorSettings, err := operator.Load(f.OperatorSettings, settings.TeamNames())
	operatorSettings.Standby.Enabled = operatorSettings.Standby.Enabled || f.Standby
	operatorSettings.Admission.Enabled = operatorSettings.Admission.Enabled || f.Admission
	return settings, operatorSettings, err
}

type serveCmd struct{ settingsFiles }

// Run runs a controller until the process receives SIGINT or SIGTERM.
func (c *serveCmd) Run() error {
	settings, operatorSettings, err := c.load()
	if err != nil {
		return err
	}
	node, err := controller.New(settings, operatorSettings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := node.Run(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

type checkConfigCmd struct{ settingsFiles }

// Run validates the settings files.
func (c *checkConfigCmd) Run() error {
	if _, _, err := c.load(); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("gingertally", controller.Version)
	return nil
}

// logLevelVariable is the environment variable that sets the log level (DEPLOY: The deploy file).
const logLevelVariable = "LOG_LEVEL"

// logLevel returns the log level that the environment sets: error, debug, or else info.
func logLevel() slog.Level {
	switch strings.ToLower(os.Getenv(logLevelVariable)) {
	case "error":
		return slog.LevelError
	case "debug":
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()})))
	var commands cli
	ctx := kong.Parse(
		&commands, kong.Name("gingertally"),
		kong.Description("A cluster scheduler: pipelines of jobs on rented machines."),
	)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "gingertally:", err)
		os.Exit(exitCode(err))
	}
}
