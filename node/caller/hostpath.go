package caller

import (
	"fmt"
	"net"
	"net/url"
	"strings"
)

const maxHostLength = 253 // bytes, the limit of DNS names

// HostPathError reports a request whose host or path is invalid or can be interpreted in more than one way.
type HostPathError struct{ Part, Reason string }

func (e HostPathError) Error() string { return fmt.Sprintf("caller: %s %s", e.Part, e.Reason) }

// NormalizeHostAndPath returns the host in lower case without port, and the decoded path, or a HostPathError.
// A path that a target may interpret differently from this node is refused, since the request could then get past the
// rules of its route.
func NormalizeHostAndPath(host, escapedPath string) (string, string, error) {
	host, err := normalizeHost(host)
	if err != nil {
		return "", "", err
	}
	path, err := decodePath(escapedPath)
	if err != nil {
		return "", "", err
	}
	return host, path, nil
}

func normalizeHost(host string) (string, error) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	} else {
		host = strings.TrimSuffix(strings.TrimPrefix(host, "["), "]")
	}
	host = strings.ToLower(strings.TrimSuffix(host, "."))
	if host == "" || len(host) > maxHostLength {
		return "", HostPathError{Part: "host", Reason: "is empty or too long"}
	}
	for _, c := range []byte(host) {
		switch {
		case 'a' <= c && c <= 'z', '0' <= c && c <= '9', c == '-', c == '.', c == '_', c == ':':
		default:
			return "", HostPathError{Part: "host", Reason: "holds an invalid character"}
		}
	}
	return host, nil
}

func decodePath(escaped string) (string, error) {
	if !strings.HasPrefix(escaped, "/") {
		return "", HostPathError{Part: "path", Reason: "does not start with a slash"}
	}
	lower := strings.ToLower(escaped)
	for _, encoded := range []string{"%2f", "%5c", "%00", "%25"} {
		if strings.Contains(lower, encoded) {
			return "", HostPathError{Part: "path", Reason: "holds " + encoded}
		}
	}
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return "", HostPathError{Part: "path", Reason: "holds an invalid escape"}
	}
	for _, c := range []byte(path) {
		if c < ' ' || c == 0x7f || c == '\\' || c == '#' || c == '?' {
			return "", HostPathError{Part: "path", Reason: "holds an invalid character"}
		}
	}
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." || (segment == "" && i < len(segments)-1) {
			return "", HostPathError{Part: "path", Reason: "holds an empty or relative segment"}
		}
	}
	return path, nil
}
