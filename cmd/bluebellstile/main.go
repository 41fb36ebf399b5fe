// Command bluebellstile is the command line of operators and callers.
//
// Run "bluebellstile help" for its commands and "bluebellstile help COMMAND"
// for examples.
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
