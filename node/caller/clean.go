// Package caller is the side of a node that faces callers: it checks, authenticates and limits each request,
// tries targets, and returns one whole response or a refusal.
package caller

import (
	"fmt"
	"net"
	"net/url"
	"strings"
)

const maxHost = 253

// FormError reports a request whose host or path has more than one reading.
type FormError struct{ Part, Reason string }

func (e FormError) Error() string { return fmt.Sprintf("caller: %s %s", e.Part, e.Reason) }

// Clean returns the host in lower case without port, and the decoded path, or a FormError.
// A path that a target may read differently from this node is refused, because the route's rules would not apply to it.
func Clean(host, escapedPath string) (string, string, error) {
	host, err := cleanHost(host)
	if err != nil {
		return "", "", err
	}
	path, err := cleanPath(escapedPath)
	if err != nil {
		return "", "", err
	}
	return host, path, nil
}

func cleanHost(host string) (string, error) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	} else {
		host = strings.TrimSuffix(strings.TrimPrefix(host, "["), "]")
	}
	host = strings.ToLower(strings.TrimSuffix(host, "."))
	if host == "" || len(host) > maxHost {
		return "", FormError{Part: "host", Reason: "is empty or too long"}
	}
	for _, c := range []byte(host) {
		switch {
		case 'a' <= c && c <= 'z', '0' <= c && c <= '9', c == '-', c == '.', c == '_', c == ':':
		default:
			return "", FormError{Part: "host", Reason: "holds an invalid character"}
		}
	}
	return host, nil
}

func cleanPath(escaped string) (string, error) {
	if !strings.HasPrefix(escaped, "/") {
		return "", FormError{Part: "path", Reason: "does not start with a slash"}
	}
	lower := strings.ToLower(escaped)
	for _, encoded := range []string{"%2f", "%5c", "%00", "%25"} {
		if strings.Contains(lower, encoded) {
			return "", FormError{Part: "path", Reason: "holds " + encoded}
		}
	}
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return "", FormError{Part: "path", Reason: "holds an invalid escape"}
	}
	for _, c := range []byte(path) {
		if c < ' ' || c == 0x7f || c == '\\' || c == '#' || c == '?' {
			return "", FormError{Part: "path", Reason: "holds an invalid character"}
		}
	}
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." || (segment == "" && i < len(segments)-1) {
			return "", FormError{Part: "path", Reason: "holds an empty or relative segment"}
		}
	}
	return path, nil
}
