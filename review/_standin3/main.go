// Command _standin3 plays the cases of the third review that are scripts: it starts the program
// as separate processes between stand-ins for callers, engines and the platform's store, and
// checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
)

// cases has a function for each case; it returns what broke the rule, nothing if it held.
var cases = map[string]func(w *world, trouble bool) ([]string, error){
	"leader-leaves": leaderLeaves,
	"deadly":        deadlyRestarts,
	"pauses":        readersPause,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	for _, b := range broken {
		w.log("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	w.log("answers: %v", w.answers)
	fmt.Println("answers:", w.answers)
	if err != nil {
		w.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	w.close()
	switch {
	case err != nil:
		os.Exit(2)
	case len(broken) > 0:
		os.Exit(1)
	}
	fmt.Println("held")
}
