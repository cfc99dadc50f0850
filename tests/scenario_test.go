package tests

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/settings"
	"fireflypier.example/fireflypier/internal/standin/modelengine"
)

// TestScenarios runs the scripts in the scenarios folder. docs/SCENARIOS.md
// describes their commands.
func TestScenarios(t *testing.T) {
	built, err := builtPrograms()
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:      "scenarios",
		TestWork: false,
		Setup: func(env *testscript.Env) error {
			s := &scenario{fleet: fleet.New(built, env.WorkDir), processes: map[string]*fleet.Process{}, addresses: map[string]string{}}
			env.Values[scenarioKey{}] = s
			env.Defer(s.fleet.Close)
			env.Setenv("PATH", filepath.Dir(built.Fireflypier)+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("FIREFLYPIER_TOKEN", fleet.OperatorToken)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start":  startCommand,
			"signal": signalCommand,
			"send":   sendCommand,
			"expand": expandCommand,
		},
	})
}

type scenarioKey struct{}

// scenario holds the processes of one script and their addresses, by name.
type scenario struct {
	fleet     *fleet.Fleet
	processes map[string]*fleet.Process
	addresses map[string]string
}

func scenarioOf(ts *testscript.TestScript) *scenario {
	s, ok := ts.Value(scenarioKey{}).(*scenario)
	if !ok {
		ts.Fatalf("the script has no scenario: Setup did not run")
	}
	return s
}

// startCommand implements "start KIND NAME": it starts a platform, engine,
// service, controller or gateway and sets $NAME to its address. The address of
// a controller is also appended to $FIREFLYPIER_CONTROLLERS.
func startCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: start platform|engine|service|controller|gateway NAME")
	}
	s := scenarioOf(ts)
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	process, address, err := s.start(ctx, args[0], args[1])
	ts.Check(err)
	s.processes[args[1]] = process
	s.addresses[args[1]] = address
	ts.Setenv(args[1], address)
	if args[0] == "controller" {
		ts.Setenv("FIREFLYPIER_CONTROLLERS", strings.Trim(ts.Getenv("FIREFLYPIER_CONTROLLERS")+","+address, ","))
	}
}

func (s *scenario) start(ctx context.Context, kind, name string) (*fleet.Process, string, error) {
	switch kind {
	case "controller":
		n, err := s.fleet.StartController(ctx, name, nil)
		return nodeOf(n, err)
	case "gateway":
		n, err := s.fleet.StartGateway(ctx, name, func(cfg *settings.Gateway) { cfg.EntryTTL = time.Second })
		return nodeOf(n, err)
	case "platform":
		return standinOf(s.fleet.StartPlatform(ctx, struct{}{}))
	case "service":
		return standinOf(s.fleet.StartService(ctx, name))
	case "engine":
		return standinOf(s.fleet.StartEngine(ctx, name, modelengine.Config{
			MemoryBytes: 40 * gib, Concurrency: 16, MaxWaiting: 64, StepBase: time.Millisecond,
		}))
	}
	return nil, "", fmt.Errorf("unknown kind of process %q", kind)
}

func nodeOf(n *fleet.Node, err error) (*fleet.Process, string, error) {
	if err != nil {
		return nil, "", err
	}
	return n.Process, n.Addr.String(), nil
}

func standinOf(s *fleet.Standin, err error) (*fleet.Process, string, error) {
	if err != nil {
		return nil, "", err
	}
	return s.Process, s.Addr.String(), nil
}

// signalCommand implements "signal kill|freeze|thaw|terminate NAME"; terminate
// waits until the process exits and fails if it exits with an error.
func signalCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: signal kill|freeze|thaw|terminate NAME")
	}
	process, ok := scenarioOf(ts).processes[args[1]]
	if !ok {
		ts.Fatalf("there is no process %q", args[1])
	}
	switch args[0] {
	case "kill":
		process.Kill()
	case "freeze":
		ts.Check(process.Freeze())
	case "thaw":
		ts.Check(process.Thaw())
	case "terminate":
		ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
		defer cancel()
		ts.Check(process.Terminate())
		ts.Check(process.Wait(ctx))
	default:
		ts.Fatalf("unknown signal %q", args[0])
	}
}

// sendCommand implements "send [-eventually] STATUS METHOD NAME/PATH
// [HEADER:VALUE]... [BODY]": it sends a request to a process and compares the
// response status. With -eventually it repeats the request until the status
// matches. The response body becomes the standard output of the command.
func sendCommand(ts *testscript.TestScript, neg bool, args []string) {
	eventually := len(args) > 0 && args[0] == "-eventually"
	if eventually {
		args = args[1:]
	}
	if neg || len(args) < 3 {
		ts.Fatalf("usage: send [-eventually] STATUS METHOD NAME/PATH [HEADER:VALUE]... [BODY]")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	name, path, _ := strings.Cut(args[2], "/")
	address, ok := scenarioOf(ts).addresses[name]
	if !ok {
		ts.Fatalf("there is no process %q", name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	once := func() error { return sendOnce(ctx, ts, want, args[1], "http://"+address+"/"+path, args[3:]) }
	if eventually {
		ts.Check(fleet.Eventually(ctx, once))
		return
	}
	ts.Check(once())
}

func sendOnce(ctx context.Context, ts *testscript.TestScript, want int, method, url string, args []string) error {
	body := ""
	header := http.Header{}
	for _, arg := range args {
		if name, value, ok := strings.Cut(arg, ":"); ok && !strings.ContainsAny(name, "{ \"") {
			header.Add(name, value)
			continue
		}
		body = arg
	}
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header = header
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != want {
		return fmt.Errorf("%s %s: status %d, want %d: %s", method, url, response.StatusCode, want, data)
	}
	_, err = fmt.Fprintf(ts.Stdout(), "%s\n", data)
	return err
}

// expandCommand implements "expand FILE": it replaces each $NAME in the file by
// the value of that variable, such as the address of a started process.
func expandCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: expand FILE")
	}
	file := ts.MkAbs(args[0])
	data, err := os.ReadFile(file)
	ts.Check(err)
	ts.Check(os.WriteFile(file, []byte(os.Expand(string(data), ts.Getenv)), 0o600))
}
