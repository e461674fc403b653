package settings_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/daemon/settings"
)

const validEntrySettings = `id: entry-1
failure_domain: epe
platform:
  log_service: http://127.0.0.1:7001
  instance_list: http://127.0.0.1:7002
addresses:
  internal: 127.0.0.1:7100
  operator: 127.0.0.1:7101
  caller: 127.0.0.1:7102
entry:
  reservations: 2
`

// writeSettings writes text to a file that is removed after the test, and returns its path.
func writeSettings(t testing.TB, text string) string {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestFlagsOverrideEnvironmentWhichOverridesFile(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.Load(settings.Sources{
		File:    writeSettings(t, validEntrySettings),
		Environ: []string{"PRIMROSESPOKE_ENTRY_RESERVATIONS=4", "PRIMROSESPOKE_ENTRY_MAX_WAITING=7", "HOME=/"},
		Flags:   []string{"entry.max_waiting=9"},
		Role:    settings.RoleEntry,
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Entry.Reservations).To(Equal(4))
	g.Expect(s.Entry.MaxWaiting).To(Equal(9))
	g.Expect(s.Entry.DefaultDeadline).To(Equal(time.Minute))
}

func TestInvalidFileReportsEveryFindingWithItsLine(t *testing.T) {
	g := NewWithT(t)
	path := writeSettings(t, "id: entry-1\nplatform:\n  log_service: http://log.example:1\n  instance_list: http://127.0.0.1:2\n"+
		"addresses:\n  internal: localhost:1\n  operator: 127.0.0.1:2\nentry:\n  reservations: none\n  colour: red\n  attempts: often\n")
	findings := settings.Check(path)
	var lines []string
	for _, f := range findings {
		lines = append(lines, f.String())
	}
	g.Expect(lines).To(ConsistOf(
		path+`:3: platform.log_service: "http://log.example:1": the host must be an IP address and a port`,
		path+`:6: addresses.internal: "localhost:1" is not an IP address and port`,
		path+`:9: entry.reservations: "none" is not an integer`,
		path+`:10: entry.colour: unknown key`,
		path+`:11: entry.attempts: "often" is not one of proven, strict`,
		path+`: failure_domain: a value is required`,
		path+`: addresses.caller: a value is required for an entry`,
	))
}

// FuzzLoad checks that any file gives either settings or an error.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(validEntrySettings))
	f.Add([]byte("a: [1, 2"))
	f.Add([]byte("entry: 3\n---\nid: x"))
	f.Add([]byte("? {a: b}\n: c"))
	f.Fuzz(func(t *testing.T, data []byte) {
		path := writeSettings(t, string(data))
		s, err := settings.Load(settings.Sources{File: path})
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
	})
}

func TestExampleFilesHaveNoFindings(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("../../examples/*/*.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).To(HaveLen(6))
	for _, file := range files {
		g.Expect(settings.Check(file)).To(BeEmpty(), file)
	}
}

func TestFrontLoadsWithoutSectionsOfOtherRoles(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "front.yaml")
	text := "id: f1\nfailure_domain: z\nfront:\n  callers: \"10.0.0.1:80\"\n  readiness: \"10.0.0.1:81\"\n" +
		"  peers: \"10.0.0.1:82\"\n  store: \"10.0.0.9:83\"\n  trust_keys_for: 5000ms\n  retry_ratio: 0.2\n"
	g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	s, err := settings.Load(settings.Sources{File: file, Role: settings.RoleFront, Environ: []string{"PRIMROSESPOKE_NODE_FILE=" + file}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Front.TrustKeysFor).To(Equal(5 * time.Second))
	g.Expect(s.Front.RetryRatio).To(Equal(0.2))
	g.Expect(settings.Check(file)).To(BeEmpty())
}

func TestInvalidFrontFileReportsAllFindings(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "front.yaml")
	text := "id: f1\nfailure_domain: z\nfront:\n  callers: nowhere\n  retry_ratio: much\n  store: \"10.0.0.9:83\"\n  stop_within: 1ms\n"
	g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	findings := settings.Check(file)
	keys := []string{}
	for _, f := range findings {
		keys = append(keys, f.Key)
	}
	g.Expect(keys).To(ContainElements("front.callers", "front.retry_ratio", "front.stop_within", "front.readiness", "front.peers"))
	g.Expect(findings[len(findings)-1].Line).To(BeNumerically(">", 0))
}
