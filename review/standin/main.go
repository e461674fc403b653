// Command standin plays the platform, runners and clients around fronts that run as separate
// processes, for the scripts in review/N/run.sh.
package main

import (
	"fmt"
	"os"
	"strconv"
)

// cases are the scripts, by the name of their folder.
var cases = map[string]func(*world) (broken bool, err error){
	"1": hangupWhileStopping,
	"2": crashWhileFrozen,
	"3": largeBodies,
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin case N")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[2]))
}

// play runs a case and returns its exit code. It stops all processes that the case started.
func play(name string) int {
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	w.trouble = os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %s", name, strconv.FormatBool(w.trouble))
	broken, err := cases[name](w)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		return exitNotRun
	case broken:
		w.note("result: the rule was broken")
		return exitBroken
	}
	w.note("result: the rule held")
	return exitHeld
}
