package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"
)

// newCompletion returns the command that prints a completion script for the
// commands in list.
func newCompletion(env *environment, list []grouped) *command {
	return &command{
		env:       env,
		path:      "completion",
		synopsis:  "print a script that completes commands and flags in bash",
		arguments: "bash",
		examples:  []string{"source <(bluebellstile completion bash)"},
		run: func(_ context.Context, args []string) error {
			shell, err := oneArgument(args, "shell")
			if err != nil {
				return err
			}
			if shell != "bash" {
				return usageError("there is no completion for %q, only for bash", shell)
			}
			return env.print(bashScript(list))
		},
	}
}

// bashScript returns a function for bash that offers the words which may
// follow the command so far, and files elsewhere.
func bashScript(list []grouped) string {
	var cases strings.Builder
	var top []string
	for _, g := range list {
		top = append(top, g.command.Name())
		switch c := g.command.(type) {
		case *family:
			writeFamilyCases(&cases, c)
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

func writeFamilyCases(b *strings.Builder, f *family) {
	var names []string
	for _, m := range f.members {
		names = append(names, m.Name())
		writeCase(b, f.name+" "+m.Name(), flagWords(m))
	}
	writeCase(b, f.name+" *", append(names, "help"))
}

func writeCase(b *strings.Builder, pattern string, words []string) {
	command, rest, _ := strings.Cut(pattern, " ")
	if rest != "*" {
		rest = `"` + rest + `"`
	}
	fmt.Fprintf(b, "      \"%s \"%s) words=\"%s\" ;;\n", command, rest, strings.Join(words, " "))
}

// flagWords returns the flags of a command, each with its dash.
func flagWords(c subcommands.Command) []string {
	f := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	c.SetFlags(f)
	var words []string
	f.VisitAll(func(one *flag.Flag) { words = append(words, "-"+one.Name) })
	return words
}
