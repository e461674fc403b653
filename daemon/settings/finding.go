package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one error in the settings and where it is.
type Finding struct {
	// Source is the path of the file, "environment" or "flag".
	Source string
	// Line counts from 1; 0 where the source has no lines or the key is absent.
	Line int
	// Key is the path of the key, joined by dots. It is "-" for a file that can't be read,
	// isn't YAML or holds several documents, and the name of an environment variable that
	// belongs to no key.
	Key string
	// Message describes the error.
	Message string
}

// String renders a finding as SOURCE:LINE: KEY: MESSAGE.
func (f Finding) String() string {
	location := f.Source
	if f.Line > 0 {
		location = fmt.Sprintf("%s:%d", f.Source, f.Line)
	}
	return fmt.Sprintf("%s: %s: %s", location, f.Key, f.Message)
}

// Findings is an error made of all findings of one load.
type Findings []Finding

// Error returns one line for each finding.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// sort orders findings by source and line.
func (fs Findings) sort() {
	sort.SliceStable(fs, func(i, j int) bool {
		if fs[i].Source != fs[j].Source {
			return fs[i].Source < fs[j].Source
		}
		return fs[i].Line < fs[j].Line
	})
}
