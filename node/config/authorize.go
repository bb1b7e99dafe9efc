package config

import "verbenapin.dev/node/answer"

// Authorize returns the account whose key has the given digest, the zero account for a route that needs none. The error is an
// answer.Refusal; the account is returned also if it may not use the route.
func (t Tree) Authorize(r Route, key Digest) (Account, error) {
	return t.authorize(r, func() (Account, bool) { return t.Authenticate(key) })
}

// AuthorizeName is Authorize for an account that is known by its name.
func (t Tree) AuthorizeName(r Route, name string) (Account, error) {
	return t.authorize(r, func() (Account, bool) { return t.Account(name) })
}

func (t Tree) authorize(r Route, account func() (Account, bool)) (Account, error) {
	if r.Fault != "" {
		return Account{}, answer.NewNotExecuted(answer.CodeConfig, "the route cannot be used: "+r.Fault)
	}
	if r.AuthExempt {
		return Account{}, nil
	}
	a, ok := account()
	switch {
	case !ok && t.lacksKeys:
		return Account{}, answer.NewNotExecuted(answer.CodeConfig, "the key is unknown, and the keys of an account cannot be read")
	case !ok:
		return Account{}, answer.NewNotExecuted(answer.CodeKey, "the key is unknown or was revoked")
	case a.Fault != "":
		return a, answer.NewNotExecuted(answer.CodeConfig, "the account cannot be used: "+a.Fault)
	case !a.Allows(r.Name):
		return a, answer.NewNotExecuted(answer.CodeScope, "the account may not use the route")
	}
	return a, nil
}
