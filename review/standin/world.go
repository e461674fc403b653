package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds the stand-ins and processes of one case.
type world struct {
	trouble bool
	dir     string // temporary
	record  *os.File
	begun   time.Time
	store   *store

	mu        sync.Mutex
	processes []*process
}

func newWorld() (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: record, begun: time.Now()}
	w.store, err = newStore()
	return w, err
}

func (w *world) close() {
	w.mu.Lock()
	processes := w.processes
	w.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// process is a process that the case started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts a program. Its output goes to a file, or line by line to each if that is set.
func (w *world) start(name string, env []string, each func(line string), program string, args ...string) (*process, error) {
	p := &process{name: name, cmd: exec.Command(program, args...), ended: make(chan struct{})}
	p.cmd.Env = env
	output, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stderr = p.cmd.Stdout
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(output)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			each(lines.Text())
		}
		err := p.cmd.Wait()
		w.note("process %s ended: %v", name, cmpErr(err))
		close(p.ended)
	}()
	return p, nil
}

func cmpErr(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// freeAddress returns a loopback address that nothing listens at.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// front is a front in a process of its own.
type front struct {
	*process
	callers, readiness string
	id, settings       string // settings is the path of its settings file
}

// frontSettings has the keys and the values of deploy/front.yaml for a small installation.
const frontSettings = `id: %s
failure_domain: %s
front:
  callers: "%s"
  readiness: "%s"
  peers: "%s"
  operators: "%s"
  store: "%s"
  trust_keys_for: 5000ms
  apply_within: 2000ms
  leave_within: 2000ms
  stop_within: 8s
  retry_ratio: 0.2
  retry_burst: 58
  cap_slack: 140000
  memory_mb: 134
`

// startFront starts a front with the command of the deploy file.
func (w *world) startFront(id string) (*front, error) {
	var addresses [4]string
	for i := range addresses {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = a
	}
	path := filepath.Join(w.dir, id+".yaml")
	text := fmt.Sprintf(frontSettings, id, "zone-a", addresses[0], addresses[1], addresses[2], addresses[3], w.store.address)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f := &front{callers: addresses[0], readiness: addresses[1], id: id, settings: path}
	return f, w.restartFront(f)
}

// restartFront starts the process of a front that has none.
func (w *world) restartFront(f *front) error {
	log, err := os.OpenFile(filepath.Join(w.dir, f.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	env := []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "PRIMROSESPOKE_NODE_FILE=" + f.settings}
	p, err := w.start(f.id, env, func(line string) {
		fmt.Fprintln(log, line)
		for _, event := range []string{"front_st", "request_given_up", "run_broken", "settings_", "front_shutdown", "panic"} {
			if strings.Contains(line, event) {
				w.note("log of %s: %s", f.id, line)
			}
		}
	}, filepath.Join("..", "..", "target", "primrosespoke"), "front")
	if err != nil {
		return err
	}
	w.note("process %s started, pid %d", f.id, p.cmd.Process.Pid)
	f.process = p
	return nil
}

// isReady reports whether the readiness check succeeds.
func (f *front) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + f.readiness + "/api/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// until waits for a condition.
func until(limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not within %v", limit)
}
