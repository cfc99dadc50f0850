// Command standin plays the cases of the review: it starts the project's own processes
// on loopback addresses, between stand-ins of the platform's store, of engines and of
// requesters, and checks one rule of the users' pages.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is the time after which a case ends at the latest.
const maxTime = 115 * time.Second

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case couldn't run: "+format+"\n", args...)
	if current != nil {
		current.close()
	}
	os.Exit(2)
}

// current is the site of the case.
var current *site

var cases = map[string]func(s *site, trouble bool) (broken string){
	"first-part": firstPart,
	"batches":    batches,
	"path":       path,
	"refused":    refused,
	"herd":       herd,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: standin CASE RECORD")
	}
	if _, err := os.Stat("target/fireflypier"); err != nil {
		fail("the build of the deploy file is missing: %v", err)
	}
	s := newSite(os.Args[2])
	current = s
	trouble := os.Getenv("TROUBLE") != "0"
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case sig := <-stop:
			fail("stopped by a signal: %v", sig)
		case <-time.After(maxTime):
			fail("it took longer than %v", maxTime)
		}
	}()
	s.note("case %s, trouble %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](s, trouble)
	if broken != "" {
		s.note("BROKEN: %s", broken)
	} else {
		s.note("the rule held")
	}
	s.close()
	if broken != "" {
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	fmt.Println("held")
}
