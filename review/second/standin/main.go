// Command standin plays the cases of the second review: it starts the entry hosts as
// processes and takes the place of clients, endpoints and the platform's store on loopback.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxLength is the longest time that a case may run.
const maxLength = 110 * time.Second

// errBroken reports that a rule was broken.
var errBroken = errors.New("rule broken")

// stage is what a case runs on.
type stage struct {
	dir     string
	record  *record
	store   *store
	holders *holders
	base    netip.Addr
	trouble bool
}

// cases maps the names of the cases to their functions.
var cases = map[string]func(ctx context.Context, s *stage) error{
	"configuration": playConfiguration,
	"copies":        playCopies,
	"log":           playLog,
	"losses":        playLosses,
	"tokens":        playTokens,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin2 CASE RECORD")
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	s, err := newStage(ctx, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	defer s.clean()
	err = cases[os.Args[1]](ctx, s)
	switch {
	case err == nil:
		s.record.add("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		s.record.add("%v", err)
		fmt.Println(err)
		return exitBroken
	default:
		s.record.add("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return exitNotRun
	}
}

func newStage(ctx context.Context, path string) (*stage, error) {
	r, err := newRecord(path)
	if err != nil {
		return nil, err
	}
	s := &stage{record: r, holders: newHolders(), trouble: os.Getenv("TROUBLE") != "0"}
	if s.dir = os.Getenv("KEEP"); s.dir == "" {
		if s.dir, err = os.MkdirTemp("", "review"); err != nil {
			return nil, err
		}
	}
	s.base = netip.AddrFrom4([4]byte{127, byte(64 + rand.IntN(64)), byte(rand.IntN(250)), 0})
	if s.store, err = startStore(ctx); err != nil {
		return nil, err
	}
	return s, nil
}

// clean removes the settings and logs of the hosts, unless KEEP names a folder for them.
func (s *stage) clean() {
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// after returns the address at a distance from the base.
func (s *stage) after(n int) netip.Addr {
	a := s.base
	for range n {
		a = a.Next()
	}
	return a
}
