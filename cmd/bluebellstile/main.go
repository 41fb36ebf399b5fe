// Command bluebellstile is the command-line client of bluebellstile for
// operators and callers.
//
// Run "bluebellstile help" for a list of its commands, and "bluebellstile help
// COMMAND" for the flags and examples of a command.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := execute(ctx, os.Args[1:], systemEnvironment())
	stop()
	os.Exit(code)
}
