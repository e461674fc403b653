package slopes

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ticksPerSecond is the resolution of processor time in /proc (USER_HZ on Linux).
const ticksPerSecond = 100

// Usage holds the processor time and memory of a process.
type Usage struct {
	// CPU is the processor time used since the process started.
	CPU time.Duration
	// ResidentBytes is the resident memory.
	ResidentBytes int64
}

// ReadUsage reads the usage of a process from /proc.
func ReadUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "slopes: read process usage")
	}
	// The second field, the command in parentheses, may contain spaces. What follows
	// it starts with the third field, so fields[11] is the fourteenth.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return Usage{
		CPU:           time.Duration(user+system) * time.Second / ticksPerSecond,
		ResidentBytes: pages * int64(os.Getpagesize()),
	}, nil
}

var (
	pidPattern      = regexp.MustCompile(`pid=(\d+)`)
	bytesPattern    = regexp.MustCompile(`bytes_(sent|received):(\d+)`)
	segmentsPattern = regexp.MustCompile(`data_segs_out:(\d+)`)
)

// Traffic counts what the open TCP connections of a process have carried.
type Traffic struct {
	// Bytes counts bytes sent and received.
	Bytes int64
	// Segments counts TCP segments sent that carried data.
	Segments int64
}

// ParseSocketTraffic returns the traffic by process ID from the output of `ss -tinpH`.
// Connections without a process are summed under 0.
func ParseSocketTraffic(text []byte) map[int]Traffic {
	all := map[int]Traffic{}
	pid := 0
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, len(text)+1)
	for lines.Scan() {
		line := lines.Text()
		if m := pidPattern.FindStringSubmatch(line); m != nil {
			pid, _ = strconv.Atoi(m[1])
		} else if !strings.HasPrefix(line, "\t") {
			pid = 0
		}
		t := all[pid]
		for _, m := range bytesPattern.FindAllStringSubmatch(line, -1) {
			n, _ := strconv.ParseInt(m[2], 10, 64)
			t.Bytes += n
		}
		if m := segmentsPattern.FindStringSubmatch(line); m != nil {
			n, _ := strconv.ParseInt(m[1], 10, 64)
			t.Segments += n
		}
		all[pid] = t
	}
	return all
}
