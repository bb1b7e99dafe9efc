// Package daemon assembles a node from its settings and runs it.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"

	"google.golang.org/grpc/grpclog"

	"verbenapin.dev/node/journal"
)

// Main runs a node until SIGTERM or SIGINT and returns its exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := run(ctx, args, os.Stdout, os.Stderr)
	printOutcome(os.Stdout, os.Stderr, err)
	return ExitCode(err)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	settings, err := ParseSettings(args)
	if err != nil {
		return err
	}
	if settings.Check {
		_, err := fmt.Fprintln(stdout, "settings are valid")
		return err
	}
	n, err := New(settings, PolicyFromEnv(os.Getenv), stderr)
	if err != nil {
		return err
	}
	redirectLibraryLogs(n.journal)
	return n.RunReloading(ctx, func() (Settings, error) { return ParseSettings(args) }, nil)
}

// redirectLibraryLogs sends the output of the standard logger and the errors of gRPC to the node's log. It sets the
// loggers of the whole process.
func redirectLibraryLogs(j *journal.Journal) {
	log.SetFlags(0)
	log.SetOutput(j.StdLogger("library").Writer())
	grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, io.Discard, j.StdLogger("grpc").Writer()))
}

// printOutcome prints the text of --help to stdout, or the error that ended the node to stderr.
func printOutcome(stdout, stderr io.Writer, err error) {
	var help HelpError
	switch {
	case err == nil:
	case errors.As(err, &help):
		_, _ = fmt.Fprintln(stdout, help.Text)
	default:
		_, _ = fmt.Fprintln(stderr, err)
	}
}
