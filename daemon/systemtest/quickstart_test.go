package systemtest

import (
	"encoding/csv"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// spokectl runs the operators' command line tool and returns its output.
func spokectl(args ...string) string {
	out, err := exec.Command(binaries.tool, args...).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	return string(out)
}

var _ = Describe("the README's quick start", func() {
	It("gives the results that the README states", func() {
		const base = 31000
		at := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", base+offset) }
		dev := start("dev", binaries.daemon, "dev", "--base-port", fmt.Sprint(base))
		Eventually(dev.out.String, conditionTimeout).Should(ContainSubstring("ready\n"))

		send := func(path, body string, headers map[string]string) (int, string) {
			req, err := http.NewRequest(http.MethodPost, "http://"+at(0)+path, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer desk-key")
			for name, value := range headers {
				req.Header.Set(name, value)
			}
			resp, err := callerClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			return resp.StatusCode, string(text)
		}
		chatBody := `{"model":"demo-model","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"setup"}]}`
		code, text := send("/v1/chat/completions", chatBody, map[string]string{"X-Tier": "urgent"})
		Expect(code).To(Equal(http.StatusOK), text)
		Expect(strings.TrimSpace(text)).To(HaveSuffix("data: [DONE]"))
		Expect(strings.Count(text, "data: ")).To(BeNumerically(">=", 20), text)

		key := map[string]string{"Idempotency-Key": "kit-7-monday"}
		code, first := send("/services/desk/bookings", `{"kit":7}`, key)
		Expect(code).To(Equal(http.StatusCreated), first)
		code, second := send("/services/desk/bookings", `{"kit":7}`, key)
		Expect(code).To(Equal(http.StatusCreated), second)
		Expect(second).To(Equal(first))

		Expect(spokectl("table", "edit", "account", "crew-team", "weight=3", "--server", at(1))).To(ContainSubstring("accepted"))
		rows, err := csv.NewReader(strings.NewReader(spokectl("table", "export", "--server", at(1)))).ReadAll()
		Expect(err).NotTo(HaveOccurred())
		weights := map[string]string{}
		for _, row := range rows[1:] {
			for i, column := range rows[0] {
				if column == "weight" {
					weights[row[1]] = row[i]
				}
			}
		}
		Expect(weights).To(HaveKeyWithValue("crew-team", "3"))
		for _, offset := range []int{1, 7, 10, 13} {
			Eventually(func() string { return spokectl("dump", at(offset)) }, conditionTimeout).
				Should(ContainSubstring(`"table_version": 2`), at(offset))
		}
		Expect(spokectl("drain", at(7))).To(ContainSubstring("drain"))
		Expect(spokectl("drain", at(7), "--recall")).To(ContainSubstring("in service"))
	})
})
