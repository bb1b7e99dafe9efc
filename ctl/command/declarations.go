package command

import (
	"fmt"
	"text/tabwriter"

	"verbenapin.dev/ctl/declare"
	"verbenapin.dev/node/config"
)

// placeholderVersion is the version number under which files are parsed when no output depends on it.
const placeholderVersion = 1

type fileArgs struct {
	Files []string `positional-arg-name:"FILE" required:"1"`
}

func parse(paths []string) (config.Tree, error) {
	files, err := declare.Read(paths)
	if err != nil {
		return config.Tree{}, err
	}
	return config.Parse(placeholderVersion, files)
}

type checkCommand struct {
	std  Streams
	Args fileArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	t, err := parse(c.Args.Files)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.std.Out, "no faults; routes %d, accounts %d, homes %d\n", len(t.Routes()), len(t.Accounts()), len(t.Fleet().Homes))
	return err
}

type packCommand struct {
	std     Streams
	Version int64    `long:"version" value-name:"N" required:"yes" description:"Number of the version, above the one in force"`
	Out     string   `long:"out" value-name:"DIR" required:"yes" description:"Directory for the files manifest and part-DIGEST; publish the parts first and the manifest last"`
	Args    fileArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *packCommand) Execute([]string) error {
	if c.Version < 1 {
		return UsageError{Reason: "--version is below 1"}
	}
	files, err := declare.Read(c.Args.Files)
	if err != nil {
		return err
	}
	m, err := declare.Pack(c.Version, files, c.Out)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.std.Out, "version %d, manifest sha256:%s, parts %d\n", m.Version, m.Digest(), len(m.Digests()))
	return err
}

type showCommand struct {
	std     Streams
	Account string   `long:"account" value-name:"NAME" description:"Account to show"`
	Route   string   `long:"route" value-name:"NAME" description:"Route to show"`
	Args    fileArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	kind, name := config.KindAccounts, c.Account
	if c.Route != "" {
		kind, name = config.KindRoutes, c.Route
	}
	if (c.Account == "") == (c.Route == "") {
		return UsageError{Reason: "either --account or --route is required"}
	}
	t, err := parse(c.Args.Files)
	if err != nil {
		return err
	}
	values, err := declare.Values(t, kind, name)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.std.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NAME\tVALUE\tFROM\tPLACE")
	for _, v := range values {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", v.Field, v.Text, v.Source, v.Location)
	}
	return w.Flush()
}

type diffCommand struct {
	std  Streams
	Args struct {
		Old string `positional-arg-name:"OLD"`
		New string `positional-arg-name:"NEW"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	before, err := parse([]string{c.Args.Old})
	if err != nil {
		return err
	}
	after, err := parse([]string{c.Args.New})
	if err != nil {
		return err
	}
	lines := declare.Diff(before, after)
	for _, line := range lines {
		if _, err := fmt.Fprintln(c.std.Out, line); err != nil {
			return err
		}
	}
	if len(lines) > 0 {
		return DiffersError{Count: len(lines)}
	}
	return nil
}
