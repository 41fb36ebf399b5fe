package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"
)

// newCompletion returns the command that prints a shell completion script for
// the commands in list.
func newCompletion(env *environment, list []groupedCommand) *command {
	return &command{
		env:       env,
		path:      "completion",
		synopsis:  "print a completion script for bash",
		arguments: "bash",
		examples:  []string{"source <(bluebellstile completion bash)"},
		run: func(_ context.Context, args []string) error {
			shell, err := singleArgument(args, "shell")
			if err != nil {
				return err
			}
			if shell != "bash" {
				return usageError("shell %q is not supported, only bash is", shell)
			}
			return env.print(bashScript(list))
		},
	}
}

// bashScript returns a bash completion script. It completes commands,
// subcommands and flags, and file names elsewhere.
func bashScript(list []groupedCommand) string {
	var cases strings.Builder
	var top []string
	for _, g := range list {
		top = append(top, g.command.Name())
		switch c := g.command.(type) {
		case *parentCommand:
			writeParentCases(&cases, c)
		case *command:
			writeCase(&cases, c.Name()+" *", flagWords(c))
		}
	}
	top = append(top, "help", "completion")
	return fmt.Sprintf(`_bluebellstile() {
  local current=${COMP_WORDS[COMP_CWORD]} words=
  if [ "$COMP_CWORD" -eq 1 ]; then
    words="%s"
  else
    case "${COMP_WORDS[1]} ${COMP_WORDS[2]}" in
%s    esac
    if [ "$COMP_CWORD" -gt 2 ] && [ "${current:0:1}" != "-" ]; then
      words=
    fi
  fi
  COMPREPLY=($(compgen -W "$words" -- "$current"))
}
complete -o default -F _bluebellstile bluebellstile
`, strings.Join(top, " "), cases.String())
}

// writeParentCases writes the cases of a command with subcommands.
func writeParentCases(b *strings.Builder, p *parentCommand) {
	var names []string
	for _, sub := range p.subcommands {
		names = append(names, sub.Name())
		writeCase(b, p.name+" "+sub.Name(), flagWords(sub))
	}
	writeCase(b, p.name+" *", append(names, "help"))
}

// writeCase writes a branch of the script's case statement. pattern is a command
// and a subcommand, which may be "*"; words are the completions after them.
func writeCase(b *strings.Builder, pattern string, words []string) {
	command, rest, _ := strings.Cut(pattern, " ")
	if rest != "*" {
		rest = `"` + rest + `"`
	}
	fmt.Fprintf(b, "      \"%s \"%s) words=\"%s\" ;;\n", command, rest, strings.Join(words, " "))
}

// flagWords returns the flags of a command, each with its leading dash.
func flagWords(c subcommands.Command) []string {
	f := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	c.SetFlags(f)
	var words []string
	f.VisitAll(func(entry *flag.Flag) { words = append(words, "-"+entry.Name) })
	return words
}
