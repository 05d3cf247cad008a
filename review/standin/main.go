// Command standin runs the scripts of the review: it starts hosts of the system as processes
// on loopback addresses, with stand-ins for the platform's store and routers, servers and
// clients, and checks one rule from what these see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	scriptLimit = 115 * time.Second
)

// script is a case. It returns the violations of the rule, or an error if it could not run.
type script func(w *world, trouble bool) ([]string, error)

var scripts = map[string]script{
	"restart": restartUnderOldName,
	"move":    moveRoute,
	"foreign": foreignEntry,
	"full":    fullServers,
	"turns":   routeInTurn,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of the case")
	flag.Parse()
	os.Exit(run(*name, *dir, os.Getenv("TROUBLE") != "0"))
}

func run(name, dir string, trouble bool) int {
	s, ok := scripts[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	type outcome struct {
		violations []string
		err        error
	}
	done := make(chan outcome, 1)
	go func() {
		v, err := s(w, trouble)
		done <- outcome{v, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	o := outcome{err: fmt.Errorf("script was stopped")}
	select {
	case o = <-done:
	case <-stopped:
	case <-time.After(scriptLimit):
		o.err = fmt.Errorf("script took longer than %s", scriptLimit)
	}
	return report(w, dir, trouble, o.violations, o.err)
}

// report writes the record and returns the exit code.
func report(w *world, dir string, trouble bool, violations []string, err error) int {
	code := exitHeld
	switch {
	case err != nil:
		w.rec.add("could not run: %v", err)
		code = exitNotRun
	case len(violations) > 0:
		code = exitBroken
	}
	for _, v := range violations {
		w.rec.add("RULE BROKEN: %s", v)
	}
	w.rec.add("trouble %t, violations %d, exit %d", trouble, len(violations), code)
	fmt.Printf("trouble %t, violations %d, error %v, exit %d\n", trouble, len(violations), err, code)
	for _, v := range violations[:min(3, len(violations))] {
		fmt.Println(" ", v)
	}
	w.stop(dir)
	return code
}
