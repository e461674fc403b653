package caller

import (
	"encoding/json"
	"hash/fnv"
	"math"
	"slices"
)

const (
	bytesPerToken    = 4    // assumed when the length of a prompt is estimated
	prefixBlockBytes = 1024 // bytes of the prompt between two prefix hashes
	maxPrefixHashes  = 64
)

// chatRequest holds the members of a chat completion request that this package
// reads. The body is forwarded unchanged, with all its members.
type chatRequest struct {
	Model               string        `json:"model"`
	Stream              bool          `json:"stream"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int64        `json:"max_tokens"`
	MaxCompletionTokens *int64        `json:"max_completion_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseChat checks the body of a chat completion request and fills in the fields of r
// that depend on it.
func parseChat(r *Request) *Problem {
	var chat chatRequest
	if err := json.Unmarshal(r.Body, &chat); err != nil {
		return badRequest("the body is not a chat completion in JSON: " + err.Error())
	}
	if chat.Model == "" {
		return badRequest("the body names no model")
	}
	if len(chat.Messages) == 0 {
		return badRequest("the body holds no messages")
	}
	r.Endpoint = chat.Model
	r.Stream = chat.Stream
	limit := chat.MaxCompletionTokens
	if limit == nil {
		limit = chat.MaxTokens
	}
	if limit != nil {
		if *limit < 1 || *limit > math.MaxInt32 {
			return badRequest("the bound on generated tokens must be from 1 to 2147483647")
		}
		r.MaxTokens = uint32(*limit)
	}
	r.Headers = setJSONContentType(r.Headers)
	estimatePrompt(r, chat.Messages)
	return nil
}

// setJSONContentType replaces the caller's Content-Type: the body has been parsed as
// JSON, whatever type the caller gave.
func setJSONContentType(headers []Header) []Header {
	kept := slices.DeleteFunc(headers, func(h Header) bool { return h.Name == "Content-Type" })
	return append(kept, Header{Name: "Content-Type", Value: "application/json"})
}

// estimatePrompt sets the estimated length of the prompt and the hashes of its
// prefixes. The prefixes end at multiples of prefixBlockBytes, so that prompts with
// the same beginning share their first hashes. A shorter prompt gets one hash of the
// whole.
func estimatePrompt(r *Request, messages []chatMessage) {
	h := fnv.New64a()
	length := 0
	nextBlock := prefixBlockBytes
	for _, m := range messages {
		text := append([]byte(m.Role+"\n"), m.Content...)
		for len(text) > 0 {
			n := min(len(text), nextBlock-length)
			h.Write(text[:n])
			length += n
			text = text[n:]
			if length < nextBlock {
				continue
			}
			nextBlock += prefixBlockBytes
			if len(r.Prefixes) < maxPrefixHashes {
				r.Prefixes = append(r.Prefixes, h.Sum64())
			}
		}
	}
	if len(r.Prefixes) == 0 {
		r.Prefixes = []uint64{h.Sum64()}
	}
	r.PromptTokens = uint32(min(length/bytesPerToken+1, math.MaxInt32))
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModelList(names []string) modelList {
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range names {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "primrosespoke"})
	}
	return list
}
