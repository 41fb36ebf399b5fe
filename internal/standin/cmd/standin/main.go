// Command standin runs a stand-in as a process: the platform's log or list of
// instances, an endpoint, or a whole site of the users' platform. Once it is
// ready, it prints one JSON line with its addresses.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/bluebellstile/bluebellstile/internal/standin"
)

// exitDied is the exit status after the fault switch "die". It is that of a
// process that SIGKILL has ended.
const exitDied subcommands.ExitStatus = 137

// ready is the line that is printed once a stand-in listens.
type ready struct {
	Kind    string `json:"kind"`
	ID      string `json:"id,omitempty"`
	Address string `json:"address"`
	Admin   string `json:"admin,omitempty"`
	PID     int    `json:"pid"`
}

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&logCommand{}, "")
	subcommands.Register(&listCommand{}, "")
	subcommands.Register(&endpointCommand{}, "")
	subcommands.Register(&siteCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// addresses holds the flags that the stand-ins of one service share.
type addresses struct {
	listen string
	admin  string
}

func (a *addresses) setFlags(f *flag.FlagSet) {
	f.StringVar(&a.listen, "listen", "127.0.0.1:0", "address to serve on; port 0 picks one")
	f.StringVar(&a.admin, "admin", "127.0.0.1:0", "address of the fault switches; empty for none")
}

// serve runs a stand-in until ctx is done or the fault switch "die" ends it.
// Unless the switch has ended it, serve calls stop, if that isn't nil, while
// the stand-in still serves requests.
func (a *addresses) serve(ctx context.Context, line ready, s standin.Service, stop func()) subcommands.ExitStatus {
	server, err := standin.Serve(s, a.listen, a.admin)
	if err != nil {
		return failure(err)
	}
	line.Address, line.Admin, line.PID = server.Addr(), server.AdminAddr(), os.Getpid()
	if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
		return failure(err)
	}
	select {
	case <-ctx.Done():
	case <-server.Dead():
	}
	if server.Died() {
		return exitDied
	}
	if stop != nil {
		stop()
	}
	if err := server.Close(); err != nil {
		return failure(err)
	}
	return subcommands.ExitSuccess
}

// failure prints an error and returns the exit status of a failed command.
func failure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "standin:", err)
	return subcommands.ExitFailure
}
