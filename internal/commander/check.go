package commander

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/router"
	"github.com/lacewingrelay/lacewingrelay/internal/parser"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/transcoder"
)

// Check validates a file without applying it. Its fields are set before Run.
type Check struct {
	File string
	Out  io.Writer
}

// Run validates a node's settings (.toml) or a printed configuration (any other
// extension). Errors of the file are marked ErrInput or parser.ErrInvalid and
// give the file, the reason and, for a malformed setting, its line.
func (c *Check) Run() error {
	if filepath.Ext(c.File) == ".toml" {
		return c.settings()
	}
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Mark(err, ErrInput)
	}
	declaration, err := transcoder.DecodeDeclaration(data)
	if err != nil {
		return errors.Mark(errors.Wrap(err, c.File), ErrInput)
	}
	_, err = fmt.Fprintf(c.Out, "%s: %d objects, valid\n", c.File, len(declaration.Objects))
	return err
}

func (c *Check) settings() error {
	settings, err := parser.ParseFile(c.File)
	if err != nil {
		return err
	}
	if _, err := router.Get(settings.Policy); err != nil {
		return errors.Mark(errors.Wrap(err, c.File), ErrInput)
	}
	_, err = fmt.Fprintf(c.Out, "%s: settings of node %s, valid\n", c.File, settings.Name)
	return err
}
