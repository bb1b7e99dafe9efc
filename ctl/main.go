// Command ctl is verbctl, the command line for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"verbenapin.dev/ctl/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Main(ctx, os.Args[1:], command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
