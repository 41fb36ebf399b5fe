package main

import (
	"flag"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/client"
)

// Environment variables that set the defaults of flags.
const (
	envAPI   = "BLUEBELLSTILE_API"
	envAdmin = "BLUEBELLSTILE_ADMIN"
	// envKey holds the secret of a key. There is no flag for it, because a
	// secret on the command line is visible to every user of the machine.
	envKey = "BLUEBELLSTILE_KEY"
)

// Default addresses, which match the defaults in the daemon's settings.
const (
	defaultAPI   = "http://127.0.0.1:7400"
	defaultAdmin = "http://127.0.0.1:7402"
)

// clientFlags are the flags that tell how to reach the daemons.
type clientFlags struct {
	env        *environment
	urls       string
	keyFile    string
	retries    uint
	maxElapsed time.Duration
}

// addForCallers registers the flags for the caller API.
func (c *clientFlags) addForCallers(f *flag.FlagSet) {
	c.add(f, "api", envAPI, defaultAPI)
}

// addForOperators registers the flags for the administration API.
func (c *clientFlags) addForOperators(f *flag.FlagSet) {
	c.add(f, "admin", envAdmin, defaultAdmin)
}

func (c *clientFlags) add(f *flag.FlagSet, name, variable, fallback string) {
	if value := c.env.getenv(variable); value != "" {
		fallback = value
	}
	f.StringVar(&c.urls, name, fallback, "URLs of instances, separated by commas; also $"+variable)
	f.StringVar(&c.keyFile, "key-file", "", "file with the secret of the key (default: the secret in $"+envKey+")")
	f.UintVar(&c.retries, "retries", client.DefaultTries-1, "maximum number of retries; work is retried only after the verdict 'not run'")
	f.DurationVar(&c.maxElapsed, "retry-for", client.DefaultElapsed, "maximum total time of all attempts")
}

// newClient returns a client of the daemons that the flags name.
func (c *clientFlags) newClient() (*client.Client, error) {
	key, err := c.readKey()
	if err != nil {
		return nil, err
	}
	budget := client.Budget{Tries: c.retries + 1, Elapsed: c.maxElapsed, Notify: c.reportRetry}
	apiClient, err := client.New(client.Options{URLs: splitList(c.urls), Key: key, Budget: budget})
	if err != nil {
		return nil, usageError("%v", err)
	}
	return apiClient, nil
}

// reportRetry prints to stderr why an attempt failed and when it is retried.
func (c *clientFlags) reportRetry(cause *client.Error, pause time.Duration) {
	c.env.messagef("%s; retrying in %s", cause.Detail, pause.Round(time.Millisecond))
}

// readKey returns the secret of the key; empty if none is given.
func (c *clientFlags) readKey() (string, error) {
	if c.keyFile == "" {
		return strings.TrimSpace(c.env.getenv(envKey)), nil
	}
	data, err := os.ReadFile(c.keyFile)
	if err != nil {
		return "", errors.Wrap(err, "read the key")
	}
	return strings.TrimSpace(string(data)), nil
}

// splitList splits text at commas and drops empty elements.
func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
