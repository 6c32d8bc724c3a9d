// Command anvilcourse runs and operates the fleet capacity and maintenance
// manager. All programs of the project are commands of this one binary.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/anvilcourse/anvilcourse/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
