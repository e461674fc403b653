package settings_test

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/daemon/settings"
)

// Guards against a setting that was changed without docs/SETTINGS.md. The page is the
// output of `primrosespoke settings --page`.
func TestSettingsPageEqualsReference(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(page)).To(Equal(settings.Reference()))
}
