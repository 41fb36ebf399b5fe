package main

import (
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// allCommands returns every command, subcommands included.
func allCommands(env *environment) []*command {
	var out []*command
	for _, g := range commands(env) {
		switch c := g.command.(type) {
		case *command:
			out = append(out, c)
		case *parentCommand:
			out = append(out, c.subcommands...)
		}
	}
	return out
}

func TestEveryCommandHasHelpWithAnExample(t *testing.T) {
	for _, c := range allCommands(systemEnvironment()) {
		got := runCLI(t, nil, "", append([]string{"help"}, strings.Fields(c.path)...)...).requireCode(t, exitOK)
		got.requireText(t, "Usage: bluebellstile "+c.path, "Examples:\n")
		if !strings.Contains(got.stdout, c.Synopsis()[1:]) {
			t.Errorf("%s: the help lacks the synopsis:\n%s", c.path, got.stdout)
		}
	}
}

func TestInvalidCommandLinesAreUsageErrors(t *testing.T) {
	for _, args := range [][]string{{}, {"launch"}, {"config"}, {"config", "frobnicate"}, {"-loud", "submit"}} {
		runCLI(t, nil, "", args...).requireCode(t, exitUsage)
	}
}

func TestHelpListsSubcommands(t *testing.T) {
	runCLI(t, nil, "", "help").requireCode(t, exitOK).requireText(t, "submit", "config", "settings", "completion")
	runCLI(t, nil, "", "help", "config").requireCode(t, exitOK).requireText(t, "publish", "revert")
}

func TestExitCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := regexp.MustCompile(`(?m)^\| (\d) \| \S`).FindAllStringSubmatch(string(page), -1)
	codes := []int{exitOK, exitError, exitUsage, exitNotRun, exitUnknown, exitFailed, exitConflict, exitInvalid, exitDiffers}
	if len(rows) != len(codes) {
		t.Fatalf("%d codes are documented, there are %d", len(rows), len(codes))
	}
	for i, code := range codes {
		if rows[i][1] != strconv.Itoa(code) {
			t.Errorf("row %d documents code %s, want %d", i, rows[i][1], code)
		}
	}
}

// TestCompletion runs the completion script in bash and compares what it offers.
func TestCompletion(t *testing.T) {
	bash, err := exec.LookPath("bash")
	if err != nil {
		t.Fatalf("completion can't be tested without bash: %v", err)
	}
	script := runCLI(t, nil, "", "completion", "bash").requireCode(t, exitOK).stdout
	tests := map[string]struct {
		words string
		want  string
	}{
		"command":    {"bluebellstile sub", "submit"},
		"parent":     {"bluebellstile config pub", "publish"},
		"flag":       {"bluebellstile submit -dead", "-deadline"},
		"subcommand": {"bluebellstile config publish -exp", "-expected"},
		"files":      {"bluebellstile config publish cell", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			shellCode := script + "\nCOMP_WORDS=(" + test.words + "); COMP_CWORD=$((${#COMP_WORDS[@]}-1)); _bluebellstile; echo \"${COMPREPLY[*]}\""
			out, err := exec.Command(bash, "-c", shellCode).Output()
			if got := strings.TrimSpace(string(out)); err != nil || got != test.want {
				t.Errorf("offered %q, %v; want %q", got, err, test.want)
			}
		})
	}
	runCLI(t, nil, "", "completion", "tcsh").requireCode(t, exitUsage)
}
