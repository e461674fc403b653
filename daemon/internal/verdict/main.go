// Command verdict reads `go test -json` from standard input, prints the failed tests with
// their output, and exits 0 only if tests passed and every failure is listed in the file of
// known failures ("known red").
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"
)

// event is one line of `go test -json` (see `go doc test2json`).
type event struct {
	Time    time.Time
	Action  string
	Package string
	Test    string
	Output  string
	Elapsed float64
}

// result holds the output and the last action of one test, or of one package for events
// without a test.
type result struct {
	output strings.Builder
	action string
}

// summary holds the results of a whole run. Failures are keys of the results.
type summary struct {
	passed, skipped  int
	failed, knownRed []string
	packageFailures  []string // packages that failed without a failed test
}

func main() {
	known := flag.String("known", "KNOWN-RED.txt", "file with known failures, one `test: PACKAGE NAME` or `spec: PACKAGE NAME TEXT` line an entry")
	status := flag.Int("status", 0, "exit status of go test")
	flag.Parse()
	results, err := readResults(os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(1)
	}
	listed, err := readKnownRed(*known)
	if err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(1)
	}
	s := summarize(results, listed)
	printSummary(os.Stdout, s, results)
	os.Exit(exitCode(s, *status))
}

// readResults collects results by "package test", or by package for the package itself. It
// prints a line for each package that ends, and lines that aren't JSON as they are.
func readResults(in io.Reader, progress io.Writer) (map[string]*result, error) {
	results := map[string]*result{}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 16<<20) // longest line: 16 MiB
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			fmt.Fprintln(progress, lines.Text())
			continue
		}
		addEvent(results, e, progress)
	}
	return results, lines.Err()
}

// addEvent adds an event to the result of its test or package.
func addEvent(results map[string]*result, e event, progress io.Writer) {
	key := strings.TrimSpace(e.Package + " " + e.Test)
	r := results[key]
	if r == nil {
		r = &result{}
		results[key] = r
	}
	switch e.Action {
	case "output", "build-output":
		r.output.WriteString(e.Output)
	case "pass", "fail", "skip", "build-fail":
		// A package may run more than once; a later pass does not take back a failure.
		if r.action != "fail" && r.action != "build-fail" {
			r.action = e.Action
		}
		if e.Test == "" {
			fmt.Fprintf(progress, "%-5s %s %.1fs\n", e.Action, e.Package, e.Elapsed)
		}
	}
}

// readKnownRed returns the keys listed in the file of known failures. A missing file lists
// none.
func readKnownRed(name string) (map[string]bool, error) {
	data, err := os.ReadFile(name)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	listed := map[string]bool{}
	for _, line := range strings.Split(string(data), "\n") {
		for _, prefix := range []string{"test: ", "spec: "} {
			if key, ok := strings.CutPrefix(line, prefix); ok {
				listed[strings.TrimSpace(key)] = true
			}
		}
	}
	return listed, nil
}

// summarize sorts results into passed, skipped, failed and known red. A parent test whose
// failed subtests are all known red counts as known red.
func summarize(results map[string]*result, listed map[string]bool) summary {
	var s summary
	for key, r := range results {
		pkg, test, isTest := strings.Cut(key, " ")
		switch {
		case r.action == "pass" && isTest:
			s.passed++
		case r.action == "skip" && isTest:
			s.skipped++
		case r.action != "fail" && r.action != "build-fail":
		case !isTest:
			s.packageFailures = append(s.packageFailures, pkg)
		case listed[key] || onlyKnownRedSubtestsFailed(results, listed, pkg, test) || onlyKnownRedSpecsFailed(r.output.String(), listed, key):
			s.knownRed = append(s.knownRed, key)
		default:
			s.failed = append(s.failed, key)
		}
	}
	sort.Strings(s.failed)
	sort.Strings(s.knownRed)
	s.packageFailures = packagesWithoutFailedTest(s)
	return s
}

// onlyKnownRedSubtestsFailed reports whether the test has failed subtests and all of them are
// listed.
func onlyKnownRedSubtestsFailed(results map[string]*result, listed map[string]bool, pkg, test string) bool {
	found := false
	for key, r := range results {
		if r.action != "fail" || !strings.HasPrefix(key, pkg+" "+test+"/") {
			continue
		}
		if !listed[key] {
			return false
		}
		found = true
	}
	return found
}

// Lines of the summary that ginkgo prints at the end of a suite with failures.
var (
	terminalColor = regexp.MustCompile("\x1b\\[[0-9;]*m")
	failureCount  = regexp.MustCompile(`(?m)^Summarizing (\d+) Failures?:$`)
	failedSpec    = regexp.MustCompile(`(?m)^ +\[(?:FAIL|PANICKED!|INTERRUPTED|TIMEDOUT|ABORTED)\] (.*)$`)
)

// failedSpecs returns the texts of the failed specs of a ginkgo suite, and false if the output
// names fewer or more than it counts.
func failedSpecs(output string) (specs []string, complete bool) {
	output = terminalColor.ReplaceAllString(output, "")
	count := failureCount.FindStringSubmatchIndex(output)
	if count == nil {
		return nil, false
	}
	for _, match := range failedSpec.FindAllStringSubmatch(output[count[1]:], -1) {
		specs = append(specs, strings.TrimSpace(match[1]))
	}
	return specs, strconv.Itoa(len(specs)) == output[count[2]:count[3]]
}

// onlyKnownRedSpecsFailed reports whether the test is a ginkgo suite of which specs failed, all of
// them listed by the test's key and their text.
func onlyKnownRedSpecsFailed(output string, listed map[string]bool, key string) bool {
	specs, complete := failedSpecs(output)
	for _, spec := range specs {
		if !listed[key+" "+spec] {
			return false
		}
	}
	return complete && len(specs) > 0
}

// packagesWithoutFailedTest returns the failed packages of which no test failed. The cause is
// a build failure, a panic, a data race outside a test or a time-out.
func packagesWithoutFailedTest(s summary) []string {
	var packages []string
	for _, pkg := range s.packageFailures {
		hasFailedTest := false
		for _, key := range append(append([]string{}, s.failed...), s.knownRed...) {
			if strings.HasPrefix(key, pkg+" ") {
				hasFailedTest = true
			}
		}
		if !hasFailedTest {
			packages = append(packages, pkg)
		}
	}
	sort.Strings(packages)
	return packages
}

// printSummary prints the output of each failure, the known failures and the totals.
func printSummary(out io.Writer, s summary, results map[string]*result) {
	for _, key := range append(append([]string{}, s.packageFailures...), s.failed...) {
		fmt.Fprintf(out, "\n--- failed: %s\n%s", key, results[key].output.String())
	}
	for _, key := range s.knownRed {
		fmt.Fprintf(out, "\n--- known red, passed over: %s\n", key)
		specs, _ := failedSpecs(results[key].output.String())
		for _, spec := range specs {
			fmt.Fprintf(out, "    %s\n", spec)
		}
	}
	failed := len(s.failed) + len(s.packageFailures)
	fmt.Fprintf(out, "\n%d known red\n%d passed, %d failed, %d skipped\n", len(s.knownRed), s.passed, failed, s.skipped)
}

// exitCode returns 0 if only known failures happened and at least one test passed. A failed
// `go test` without any failure in its output is an error too.
func exitCode(s summary, status int) int {
	if len(s.failed)+len(s.packageFailures) > 0 || s.passed == 0 {
		return 1
	}
	if status != 0 && len(s.knownRed) == 0 {
		return 1
	}
	return 0
}
