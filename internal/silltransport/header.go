package silltransport

import "net/http"

// checkHeader returns errMalformedHead if a value of a response's header holds bytes that no
// header can.
func checkHeader(h http.Header) error {
	for _, values := range h {
		for _, v := range values {
			if !isHeaderValue(v) {
				return errMalformedHead
			}
		}
	}
	return nil
}

// isHeaderValue returns whether a value holds no control characters but tabs.
func isHeaderValue(v string) bool {
	for i := range len(v) {
		if (v[i] < ' ' && v[i] != '\t') || v[i] == 0x7f {
			return false
		}
	}
	return true
}
