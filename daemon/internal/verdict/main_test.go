package main

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a listed spec hiding another failure of its suite.
func TestSuiteIsKnownRedOnlyIfAllItsFailedSpecsAreListed(t *testing.T) {
	const key = "example.dev/p TestSystem"
	listed := map[string]bool{key + " a call [It] is answered": true}
	const answered = "  \x1b[38;5;9m[FAIL]\x1b[0m \x1b[0ma call \x1b[38;5;9m\x1b[1m[It] is answered\x1b[0m\n  p_test.go:9\n"
	const cleanup = "  [FAIL] a call [DeferCleanup (Each)] is answered\n"
	for name, c := range map[string]struct {
		output string
		want   bool
	}{
		"a listed spec":             {"x\n\x1b[1mSummarizing 1 Failure:\x1b[0m\n" + answered, true},
		"its cleanup failed too":    {"Summarizing 2 Failures:\n" + answered + cleanup, false},
		"another spec panicked":     {"Summarizing 2 Failures:\n" + answered + "  [PANICKED!] a stream [It] ends\n", false},
		"a failure that isn't read": {"Summarizing 2 Failures:\n" + answered, false},
		"no summary":                {answered, false},
		"no failed spec":            {"Summarizing 0 Failures:\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(onlyKnownRedSpecsFailed(c.output, listed, key)).To(Equal(c.want))
		})
	}
}
