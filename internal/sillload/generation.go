package sillload

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/wasabisill/wasabisill/internal/sillreport"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// completionAnswer is what matters of an answer or a chunk of one.
type completionAnswer struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	WeightVersion sillid.WeightVersion `json:"weight_version"`
	WeightSpans   []sillreport.Span    `json:"weight_spans"`
	Error         json.RawMessage      `json:"error"`
}

// Lines of a stream of server-sent events.
const (
	dataPrefix = "data: "
	doneData   = "[DONE]"
)

// readStream reads a streamed generation; it is whole if it ends with [DONE]
// and no event was an error.
func readStream(r io.Reader, call *sillreport.Call) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxAnswerBytes)
	failed := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), dataPrefix)
		if !ok {
			continue
		}
		if data == doneData {
			call.Whole = !failed
			return
		}
		var a completionAnswer
		if err := json.Unmarshal([]byte(data), &a); err != nil || a.Error != nil || len(a.Choices) == 0 {
			failed = true
			call.Error = "event in the stream: " + data
			continue
		}
		addTokens(call, tokensOf(a.Choices[0].Text), a.WeightVersion)
	}
	if call.Error == "" {
		call.Error = "stream ended without [DONE]"
	}
}

func readCompletion(body []byte, call *sillreport.Call) {
	var a completionAnswer
	if err := json.Unmarshal(body, &a); err != nil || len(a.Choices) == 0 {
		call.Error = "answer without choices"
		return
	}
	call.Tokens = tokensOf(a.Choices[0].Text)
	call.Spans = a.WeightSpans
	call.Whole = a.Choices[0].FinishReason != nil
}

func addTokens(call *sillreport.Call, tokens []int, version sillid.WeightVersion) {
	for _, t := range tokens {
		at := len(call.Tokens)
		call.Tokens = append(call.Tokens, t)
		if n := len(call.Spans); n > 0 && call.Spans[n-1].Version == version {
			call.Spans[n-1].To++
			continue
		}
		call.Spans = append(call.Spans, sillreport.Span{From: at, To: at + 1, Version: version})
	}
}

// badToken stands for a word that no engine stand-in makes.
const badToken = -1

// tokensOf reads the tokens back from the text of an engine stand-in.
func tokensOf(text string) []int {
	words := strings.Fields(text)
	tokens := make([]int, 0, len(words))
	for _, w := range words {
		n, err := strconv.Atoi(strings.TrimPrefix(w, "w"))
		if err != nil {
			n = badToken
		}
		tokens = append(tokens, n)
	}
	return tokens
}
