package main

import (
	"flag"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/client"
)

// Environment variables that stand in for flags.
const (
	envAPI   = "BLUEBELLSTILE_API"
	envAdmin = "BLUEBELLSTILE_ADMIN"
	// envKey holds a secret, which a flag would show to everybody on the
	// machine.
	envKey = "BLUEBELLSTILE_KEY"
)

// Addresses that the daemon's settings have as defaults.
const (
	defaultAPI   = "http://127.0.0.1:7400"
	defaultAdmin = "http://127.0.0.1:7402"
)

// connection is how a command reaches the daemons.
type connection struct {
	env     *environment
	urls    string
	keyFile string
	retries uint
	wait    time.Duration
}

// callerFlags adds the flags for the callers' interface.
func (c *connection) callerFlags(f *flag.FlagSet) {
	c.flags(f, "api", envAPI, defaultAPI)
}

// adminFlags adds the flags for the administration interface.
func (c *connection) adminFlags(f *flag.FlagSet) {
	c.flags(f, "admin", envAdmin, defaultAdmin)
}

func (c *connection) flags(f *flag.FlagSet, name, variable, fallback string) {
	if value := c.env.getenv(variable); value != "" {
		fallback = value
	}
	f.StringVar(&c.urls, name, fallback, "URLs of instances, separated by commas; also $"+variable)
	f.StringVar(&c.keyFile, "key-file", "", "file with the secret of the key; without it, $"+envKey+" is used")
	f.UintVar(&c.retries, "retries", client.DefaultTries-1, "most further attempts after the verdict 'not run'")
	f.DurationVar(&c.wait, "retry-for", client.DefaultElapsed, "longest time that attempts go on")
}

// open returns the client.
func (c *connection) open() (*client.Client, error) {
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	budget := client.Budget{Tries: c.retries + 1, Elapsed: c.wait, Notify: c.notify}
	opened, err := client.New(client.Options{URLs: splitList(c.urls), Key: key, Budget: budget})
	if err != nil {
		return nil, usageError("%v", err)
	}
	return opened, nil
}

func (c *connection) notify(cause *client.Error, pause time.Duration) {
	c.env.note("%s; trying again in %s", cause.Detail, pause.Round(time.Millisecond))
}

func (c *connection) key() (string, error) {
	if c.keyFile == "" {
		return strings.TrimSpace(c.env.getenv(envKey)), nil
	}
	data, err := os.ReadFile(c.keyFile)
	if err != nil {
		return "", errors.Wrap(err, "read the key")
	}
	return strings.TrimSpace(string(data)), nil
}

// splitList splits at commas and drops empty elements.
func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
