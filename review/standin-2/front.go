package main

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// front is a process of the program, started with the command of the deploy file.
type front struct {
	id, callers, readiness string
	binary, settings, log  string // paths
	cmd                    *exec.Cmd
}

// Ports are taken from a range that the kernel does not use for outgoing connections, so that a
// process that starts again finds its ports free.
const firstPort, portCount = 20000, 8000

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", firstPort+rand.Intn(portCount)))
		if err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", errors.New("no free port")
}

// settings are those that deploy/front.yaml gives on a small installation.
const settings = `id: %s
failure_domain: a
front:
  callers: %q
  readiness: %q
  peers: %q
  operators: %q
  store: %q
  trust_keys_for: 5000ms
  apply_within: 2000ms
  leave_within: 2000ms
  stop_within: 8s
  retry_ratio: 0.2
  retry_burst: 58
  cap_slack: 140000
  platform_terms: "base,drain,config,cost,retry,recover,engine,stream,tenants,quota,platform"
  memory_mb: 284
`

func startFront(binary, dir, id, storeAddress string) (*front, error) {
	var a [4]string
	for i := range a {
		var err error
		if a[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	f := &front{
		id: id, callers: a[0], readiness: a[1], binary: binary, settings: filepath.Join(dir, id+".yaml"), log: filepath.Join(dir, id+".log"),
	}
	text := fmt.Sprintf(settings, id, a[0], a[1], a[2], a[3], storeAddress)
	if err := os.WriteFile(f.settings, []byte(text+"  first_start: true\n"), 0o600); err != nil {
		return nil, err
	}
	err := f.start()
	// As the platform does, for later starts.
	return f, errors.Join(err, os.WriteFile(f.settings, []byte(text), 0o600))
}

// start starts the process with its settings.
func (f *front) start() error {
	log, err := os.OpenFile(f.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	f.cmd = exec.Command(f.binary, "front")
	f.cmd.Env = append(os.Environ(), "PRIMROSESPOKE_NODE_FILE="+f.settings)
	f.cmd.Stdout, f.cmd.Stderr = log, log
	return f.cmd.Start()
}

func (f *front) kill() {
	_ = f.cmd.Process.Kill()
	_ = f.cmd.Wait() // the error only says that it was killed
}

// awaitReady waits until the readiness check of the front succeeds.
func (f *front) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + f.readiness + "/api/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
