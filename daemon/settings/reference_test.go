package settings_test

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/daemon/settings"
)

// The page is what `primrosespoke settings --page` prints.
func TestThePageOfSettingsIsCurrent(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(page)).To(Equal(settings.Reference()))
}
