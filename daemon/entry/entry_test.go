package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"primrosespoke.dev/daemon/entry"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// chatScript answers with the words of the prompt, in the format of the OpenAI API.
func chatScript(_ *stubAgent, header *nodepb.DispatchHeader, body []byte, out *node.FrameWriter) {
	var asked struct {
		Messages []struct{ Content string }
	}
	_ = json.Unmarshal(body, &asked)
	words := strings.Fields(asked.Messages[0].Content)
	if !header.Stream {
		answer := fmt.Sprintf(`{"id":"c","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}]}`, strings.Join(words, " "))
		writeHead(out, header.RequestId, header.Attempt, "application/json")
		writeChunk(out, header.RequestId, header.Attempt, 0, []byte(answer))
		writeEnd(out, header.RequestId, header.Attempt, len(answer))
		return
	}
	writeHead(out, header.RequestId, header.Attempt, "text/event-stream")
	offset := 0
	for _, word := range append(words, "") {
		event := fmt.Sprintf("data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", word)
		if word == "" {
			event = "data: [DONE]\n\n"
		}
		writeChunk(out, header.RequestId, header.Attempt, offset, []byte(event))
		offset += len(event)
	}
	writeEnd(out, header.RequestId, header.Attempt, offset)
}

// echoScript answers with the method, path and body of the request.
func echoScript(_ *stubAgent, header *nodepb.DispatchHeader, body []byte, out *node.FrameWriter) {
	answer := header.Method + " " + header.Path + " " + string(body)
	writeHead(out, header.RequestId, header.Attempt, "text/plain")
	writeChunk(out, header.RequestId, header.Attempt, 0, []byte(answer))
	writeEnd(out, header.RequestId, header.Attempt, len(answer))
}

func TestOfficialOpenAIClientReadsModelsAnswersAndErrors(t *testing.T) {
	g := NewWithT(t)
	e := startEntry(t, nil, startStubAgent(t, chatScript).address, startStubAgent(t, chatScript).address)
	client := openai.NewClient(option.WithBaseURL("http://"+e.CallerAddress()+"/v1/"), option.WithAPIKey(validKey))
	ctx := context.Background()

	models, err := client.Models.List(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(models.Data).To(HaveLen(1))
	g.Expect(models.Data[0].ID).To(Equal("norte"))

	params := openai.ChatCompletionNewParams{
		Model:    "norte",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("which base station is nearest")},
	}
	whole, err := client.Chat.Completions.New(ctx, params)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(whole.Choices[0].Message.Content).To(Equal("which base station is nearest"))

	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var words []string
	for stream.Next() {
		words = append(words, stream.Current().Choices[0].Delta.Content)
	}
	g.Expect(stream.Err()).NotTo(HaveOccurred())
	g.Expect(words).To(Equal([]string{"which", "base", "station", "is", "nearest"}))

	params.Model = "nowhere"
	_, err = client.Chat.Completions.New(ctx, params)
	apiError := &openai.Error{}
	g.Expect(err).To(BeAssignableToTypeOf(apiError))
	g.Expect(err.(*openai.Error).StatusCode).To(Equal(http.StatusNotFound))
}

// send sends one request and returns the response and its body.
func send(t *testing.T, e *entry.Entry, method, path string, headers map[string]string, body []byte) (*http.Response, []byte) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+e.CallerAddress()+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+validKey)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp, data
}

func TestServiceRequestIsForwardedWithAnyMethodAndBody(t *testing.T) {
	g := NewWithT(t)
	e := startEntry(t, nil, startStubAgent(t, echoScript).address)
	for _, method := range []string{"GET", "PUT", "POST", "DELETE", "PATCH"} {
		resp, data := send(t, e, method, "/services/desk/kits/a%2Fb?day=1", nil, []byte("bin\x00ary"))
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		g.Expect(string(data)).To(Equal(method + " /kits/a%2Fb?day=1 bin\x00ary"))
	}
}

func TestInvalidRequestIsRefusedWithProblemDetails(t *testing.T) {
	e := startEntry(t, func(c *entry.Config) { c.MaxBodyBytes = 1000 }, startStubAgent(t, echoScript).address)
	chat := "/v1/chat/completions"
	valid := `{"model":"norte","messages":[{"role":"user","content":"hello"}]}`
	cases := map[string]struct {
		path    string
		headers map[string]string
		body    string
		status  int
	}{
		"no key":           {chat, map[string]string{"Authorization": ""}, valid, 401},
		"unknown key":      {chat, map[string]string{"Authorization": "Bearer no"}, valid, 401},
		"tier not allowed": {chat, map[string]string{"X-Tier": "gold"}, valid, 403},
		"model closed":     {chat, nil, strings.Replace(valid, "norte", "closed", 1), 403},
		"unknown model":    {chat, nil, strings.Replace(valid, "norte", "none", 1), 404},
		"unknown service":  {"/services/none/x", nil, "", 404},
		"unknown path":     {"/v2/other", nil, "", 404},
		"broken JSON":      {chat, nil, `{"model":`, 400},
		"no messages":      {chat, nil, `{"model":"norte"}`, 400},
		"bad bound":        {chat, nil, strings.Replace(valid, "{", `{"max_tokens":-1,`, 1), 400},
		"bad deadline":     {chat, map[string]string{"X-Deadline-Ms": "soon"}, valid, 400},
		"bad request ID":   {chat, map[string]string{"X-Request-Id": "a b"}, valid, 400},
		"too large":        {chat, nil, strings.Repeat(" ", 1001), 413},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			resp, data := send(t, e, "POST", c.path, c.headers, []byte(c.body))
			g.Expect(resp.StatusCode).To(Equal(c.status), string(data))
			g.Expect(resp.Header.Get("Content-Type")).To(Equal("application/problem+json"))
			var problem map[string]any
			g.Expect(json.Unmarshal(data, &problem)).To(Succeed())
			g.Expect(problem).To(HaveKeyWithValue("outcome", "not_run"))
			g.Expect(problem).To(HaveKeyWithValue("status", BeNumerically("==", c.status)))
			g.Expect(problem["request_id"]).NotTo(BeEmpty())
			g.Expect(problem["title"]).NotTo(BeEmpty())
			g.Expect(problem["detail"]).NotTo(BeEmpty())
		})
	}
}
