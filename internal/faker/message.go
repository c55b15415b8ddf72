package faker

import (
	"encoding/json"
	"strings"
)

// message is one message of a chat.
type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is the text of a message. In JSON it is a string or a list of parts.
type content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *content) UnmarshalJSON(data []byte) error {
	var whole string
	if json.Unmarshal(data, &whole) == nil {
		*c = content(whole)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	for _, part := range parts {
		*c += content(part.Text)
	}
	return nil
}

// chatRequest holds the fields of a chat request that an engine uses.
type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Priority  int       `json:"priority"`
}

func (c chatRequest) prompt() string {
	parts := make([]string, len(c.Messages))
	for i, m := range c.Messages {
		parts[i] = string(m.Content)
	}
	return strings.Join(parts, "\n")
}
