// Command measure runs the demo, the stand-ins of outside systems, the measurements and the checks of the invariants.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"verbenapin.dev/measure/certs"
	"verbenapin.dev/measure/demo"
	"verbenapin.dev/measure/report"
	"verbenapin.dev/measure/scenario"
	"verbenapin.dev/measure/slope"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string) int {
	parser := flags.NewNamedParser("measure", flags.HelpFlag|flags.PassDoubleDash)
	commands := map[string]struct {
		text string
		data any
	}{
		"demo":   {text: "Start both deployments, send requests, clean up", data: &demoCommand{ctx: ctx}},
		"run":    {text: "Measure and write the figures", data: &runCommand{ctx: ctx}},
		"prove":  {text: "Prove the invariants under failures, on node processes", data: &proveCommand{ctx: ctx}},
		"slopes": {text: "Measure what idle nodes use as the fleet grows", data: &slopesCommand{ctx: ctx}},
		"home":   {text: "Measure what a home uses for its borrowers", data: &homeCommand{ctx: ctx}},
		"certs":  {text: "Write throwaway certificates for nodes", data: &certsCommand{}},
	}
	for name, c := range commands {
		if _, err := parser.AddCommand(name, c.text, c.text+".", c.data); err != nil {
			return fail(err, 1)
		}
	}
	standin, err := parser.AddCommand("standin", "Run a stand-in", "Run a stand-in of an outside system.", &struct{}{})
	if err == nil {
		_, err = standin.AddCommand("platform", "Run the platform", "Run the configuration service and the instance list.", &platformCommand{ctx: ctx})
	}
	if err == nil {
		_, err = standin.AddCommand("target", "Run a target", "Run a target.", &targetCommand{ctx: ctx})
	}
	if err != nil {
		return fail(err, 1)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) {
			if usage.Type == flags.ErrHelp {
				fmt.Println(usage.Message)
				return 0
			}
			return fail(err, 2)
		}
		return fail(err, 1)
	}
	return 0
}

func fail(err error, code int) int {
	fmt.Fprintln(os.Stderr, err)
	return code
}

// nodeBinary returns the path of the node executable, by default "node" in the directory of this program.
func nodeBinary(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("measure: finding the node program: %w", err)
	}
	return filepath.Join(filepath.Dir(self), "node"), nil
}

type demoCommand struct {
	Node string `long:"node" env:"MEASURE_NODE" description:"node program, by default the one beside this program"`
	ctx  context.Context
}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error {
	binary, err := nodeBinary(c.Node)
	if err != nil {
		return err
	}
	return demo.New(binary, os.Stdout).Run(c.ctx)
}

type runCommand struct {
	Node  string   `long:"node" env:"MEASURE_NODE" description:"node program, by default the one beside this program"`
	Quick bool     `long:"quick" description:"end within a minute"`
	Out   string   `long:"out" default:"measure.json" description:"file for the figures"`
	Plots string   `long:"plots" description:"directory for plots, by default none"`
	Only  []string `long:"only" description:"name of a scenario to run; by default all run"`
	Logs  string   `long:"logs" description:"directory for the logs of nodes, by default a temporary one that is removed"`
	ctx   context.Context
}

// Execute runs the scenarios and fails if a figure is missing or beyond its bound.
func (c *runCommand) Execute([]string) error {
	binary, err := nodeBinary(c.Node)
	if err != nil {
		return err
	}
	dir := c.Logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "verbenapin-measure-"); err != nil {
			return fmt.Errorf("measure: creating a directory: %w", err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if c.Plots != "" {
		if err := os.MkdirAll(c.Plots, 0o750); err != nil {
			return fmt.Errorf("measure: creating the directory for plots: %w", err)
		}
	}
	scenarios := scenario.All()
	if len(c.Only) > 0 {
		scenarios = slices.DeleteFunc(scenarios, func(s scenario.Scenario) bool { return !slices.Contains(c.Only, s.Name) })
	}
	runner := scenario.NewRunner(binary, dir, os.Stderr)
	runner.Plots, runner.Quick = c.Plots, c.Quick
	figures := runner.Run(c.ctx, scenarios)
	failed := 0
	for _, f := range figures {
		fmt.Println(f.Line())
		if !f.Pass {
			failed++
		}
	}
	if err := report.Write(c.Out, figures); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("measure: %d of %d figures are missing or beyond their bounds", failed, len(figures))
	}
	return nil
}

type slopesCommand struct {
	Node     string        `long:"node" env:"MEASURE_NODE" description:"node program, by default the one beside this program"`
	Nodes    []int         `long:"nodes" description:"nodes of a fleet; may be repeated" default:"5" default:"20" default:"60" default:"99"`
	Homes    int           `long:"homes" default:"3" description:"homes, at most the nodes"`
	Accounts int           `long:"accounts" default:"0" description:"accounts in addition to the eight of the deployment"`
	Settle   time.Duration `long:"settle" default:"15s" description:"time from the start until figures are taken"`
	For      time.Duration `long:"for" default:"30s" description:"time over which figures are taken"`
	ctx      context.Context
}

// Execute measures one fleet after the other.
func (c *slopesCommand) Execute([]string) error {
	binary, err := nodeBinary(c.Node)
	if err != nil {
		return err
	}
	fmt.Println(slope.Header)
	for _, n := range c.Nodes {
		dir, err := os.MkdirTemp("", "verbenapin-slope-")
		if err != nil {
			return fmt.Errorf("measure: creating a directory: %w", err)
		}
		usage, err := slope.Measure(c.ctx, binary, dir, slope.Size{Nodes: n, Homes: c.Homes, Accounts: c.Accounts}, c.Settle, c.For)
		_ = os.RemoveAll(dir)
		if err != nil {
			return err
		}
		fmt.Println(usage.Line())
	}
	return nil
}

type homeCommand struct {
	Node      string        `long:"node" env:"MEASURE_NODE" description:"node program, by default the one beside this program"`
	Borrowers []int         `long:"borrowers" description:"borrowers with a connection each; may be repeated" default:"0" default:"100" default:"400" default:"1200"`
	Every     time.Duration `long:"every" default:"2s" description:"time between two Takes of one borrower"`
	Settle    time.Duration `long:"settle" default:"6s" description:"time from the start until figures are taken"`
	For       time.Duration `long:"for" default:"10s" description:"time over which figures are taken"`
	ctx       context.Context
}

// Execute measures one number of borrowers after the other.
func (c *homeCommand) Execute([]string) error {
	binary, err := nodeBinary(c.Node)
	if err != nil {
		return err
	}
	fmt.Println(slope.HomeHeader)
	for _, n := range c.Borrowers {
		dir, err := os.MkdirTemp("", "verbenapin-home-")
		if err != nil {
			return fmt.Errorf("measure: creating a directory: %w", err)
		}
		usage, err := slope.MeasureHome(c.ctx, binary, dir, slope.HomeLoad{Borrowers: n, Interval: c.Every}, c.Settle, c.For)
		_ = os.RemoveAll(dir)
		if err != nil {
			return err
		}
		fmt.Println(usage.Line())
	}
	return nil
}

type certsCommand struct {
	Dir  string `long:"dir" default:"certs" description:"directory to write to"`
	Args struct {
		Names []string `positional-arg-name:"name" required:"1" description:"instance names"`
	} `positional-args:"yes"`
}

// Execute writes the certificates.
func (c *certsCommand) Execute([]string) error {
	a, err := certs.NewAuthority()
	if err != nil {
		return err
	}
	return a.Write(c.Dir, c.Args.Names)
}
