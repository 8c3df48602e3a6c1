package sillstandtarget

import (
	"net/http"
	"strconv"
	"strings"
)

// MalformedAnswers returns answers of a server in trouble that no client may take for an answer,
// by what is wrong with them. fields are the header lines that an answer of the protocol under
// test has, body is a body of its kind; so only what is wrong keeps it from being an answer.
func MalformedAnswers(fields, body string) map[string]string {
	sound := "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	answers := make(map[string]string)
	for _, status := range []string{"000", "001", "099", "+20", "-00", "101"} {
		line := "HTTP/1.1 " + status + " Trouble\r\n"
		answers["status "+status] = line + fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		answers["status "+status+" without a length"] = line + fields + "\r\n" + body
		answers["status "+status+" before an answer"] = line + fields + "Content-Length: 0\r\n\r\n" + sound
	}
	for what, line := range map[string]string{
		"blank in a name":                 "No te: x",
		"blank before the colon":          "Note : x",
		"blank before the colon, length":  "Content-Length : 1",
		"blank before the colon, chunked": "Transfer-Encoding : chunked",
		"blank in front of all names":     " Note: x",
		"blank for a name":                " : x",
		"no name":                         ": x",
		"no colon":                        "Note",
		"tab in a name":                   "No\tte: x",
		"tab before the colon":            "Note\t: x",
		"tab before the colon, length":    "Content-Length\t: 1",
		"control byte in a name":          "No\x01te: x",
		"zero in a name":                  "No\x00te: x",
		"delete in a name":                "No\x7fte: x",
		"escape in front of a name":       "\x1bNote: x",
		"return in a name":                "No\rte: x",
		"return before the colon, length": "Content-Length\r: 1",
		"byte beyond ASCII in a name":     "No\xa0te: x",
		"separator in a name":             "No(te): x",
	} {
		answers[what] = "HTTP/1.1 200 OK\r\n" + line + "\r\n" + fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		answers[what+", without a length"] = "HTTP/1.1 200 OK\r\n" + line + "\r\n" + fields + "\r\n" + body
		answers[what+", after informational"] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + sound
	}
	return answers
}

// OddAnswer is an answer that is unusual but allowed.
type OddAnswer struct {
	Bytes  string
	Status int
}

// OddAnswers returns answers with a body that every client takes, by what is odd. fields are the
// header lines that an answer of the protocol under test has.
func OddAnswers(fields, body string) map[string]OddAnswer {
	end := fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	sound := "HTTP/1.1 200 OK\r\n" + end
	return map[string]OddAnswer{
		"continue":                {"HTTP/1.1 100 Continue\r\n\r\n" + sound, http.StatusOK},
		"processing, early hints": {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + sound, http.StatusOK},
		"unknown informational":   {"HTTP/1.1 199 Soon\r\n\r\n" + sound, http.StatusOK},
		"unknown success":         {"HTTP/1.1 299 Fine\r\n" + end, 299},
		"unknown failure":         {"HTTP/1.1 599 Bad\r\n" + end, 599},
		"no reason":               {"HTTP/1.1 200 \r\n" + end, http.StatusOK},
		"no reason, no blank":     {"HTTP/1.1 200\r\n" + end, http.StatusOK},
		"protocol 1.0":            {"HTTP/1.0 200 OK\r\n" + end, http.StatusOK},
		"bare line feeds":         {strings.ReplaceAll(sound, "\r\n", "\n"), http.StatusOK},
		"odd characters in names": {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~9: x\r\n" + end, http.StatusOK},
		"blanks around values":    {"HTTP/1.1 200 OK\r\nNote: \t a b\t \r\nEmpty:\r\nTight:x\r\n" + end, http.StatusOK},
		"bytes beyond ASCII":      {"HTTP/1.1 200 OK\r\nNote: \xe4\xff\r\n" + end, http.StatusOK},
		"folded value":            {"HTTP/1.1 200 OK\r\nNote: a\r\n b\r\n" + end, http.StatusOK},
		"names in lower case":     {"HTTP/1.1 200 OK\r\n" + strings.ToLower(fields) + "content-length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body, http.StatusOK},
		"ended by a close":        {"HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body, http.StatusOK},
	}
}
