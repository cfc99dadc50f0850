// Command fireflypier serves many models on fewer accelerators. Its subcommands run a
// gateway, a controller or a node, and provide the operators' tools.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/failure"
)

// Exit codes.
const (
	exitDone        = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnreachable = 3
)

// command is one subcommand.
type command struct {
	name, short, long string
	data              flags.Commander
}

func commands() []command {
	return []command{
		{"gateway", "Run a gateway", "Run a gateway, which serves callers, until SIGTERM; it then finishes its requests and stops.", &gatewayCommand{}},
		{"controller", "Run a controller", "Run a controller, which serves operators and places models, until SIGTERM.", &controllerCommand{}},
		{"node", "Run a node on the outside platform", "Run the process of one VM of the outside platform, until SIGTERM. Its settings file is the one that the platform writes.", &nodeCommand{}},
		{"check", "Check object files", "Check the objects in the given files as one complete set, without calling a controller.", &checkCommand{}},
		{"apply", "Apply an edit", "Publish the objects of the given files, or an earlier revision, as one edit, and wait until it is accepted: a majority of the gateways of each region has adopted it.", &applyCommand{}},
		{"history", "Show the history", "Show the latest revisions, newest first.", &historyCommand{}},
		{"get", "Show objects", "Show the objects in force.", &getCommand{}},
		{"status", "Show the status", "Show the status of pools and members as reported by the controllers.", &statusCommand{}},
		{"dump", "Show a process's state", "Show the state of the process whose admin address is given.", &dumpCommand{}},
		{"explain", "Explain a request", "Show the log lines of one request, from the logs of any number of VMs, in order of time.", &explainCommand{}},
		{"where", "Show where a request would go", "Ask a node at its admin address where a request would go now and why, without sending it. The node changes no state.", &whereCommand{}},
		{"load", "Run a load test", "Send the requests of a workload to gateways and show the results that callers get, or compare earlier results.", &loadCommand{}},
		{"settings", "Check settings", "Check the settings file of a gateway, a controller, or a node on the outside platform.", &settingsCommand{}},
		{"version", "Show the version", "Show the version of the program.", &versionCommand{}},
	}
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	parser := flags.NewNamedParser("fireflypier", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Exit codes: 0 done, 1 refused, 2 usage, 3 cannot reach."
	for _, c := range commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
	}
	_, err := parser.ParseArgs(args)
	if err == nil {
		return exitDone
	}
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return exitDone
	}
	fmt.Fprintln(os.Stderr, "fireflypier:", err)
	return exitCode(err)
}

// exitCode maps an error to an exit code: exitUsage for wrong usage, exitRefused for an
// invalid document or a refusal, and exitUnreachable for all other errors, such as an
// unreachable system or an unknown outcome.
func exitCode(err error) int {
	var usage *flags.Error
	var invalidDocument *document.Error
	var refused *failure.Error
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &invalidDocument):
		return exitRefused
	case !errors.As(err, &refused):
		return exitUnreachable
	case refused.Kind == failure.StoreUnavailable, refused.Kind == failure.OutcomeUnknown:
		return exitUnreachable
	}
	return exitRefused
}
