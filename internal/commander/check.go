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

// Check checks a file without using it.
type Check struct {
	File string
	Out  io.Writer
}

// Run checks settings (.toml) or a printed configuration (any other name). It
// returns ErrInput or parser.ErrInvalid with file, line and reason.
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
