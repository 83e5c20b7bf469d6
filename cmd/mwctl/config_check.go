package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// configCheck is the command "mwctl config check".
type configCheck struct {
	JSON bool `long:"json" description:"Print the mistakes as JSON"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute checks the file.
func (c *configCheck) Execute([]string) error {
	_, err := readSchema(c.Args.File)
	var validationErrs schema.ValidationErrors
	if err != nil && !errors.As(err, &validationErrs) {
		return err
	}
	if c.JSON {
		if printErr := printJSON(append([]schema.ValidationError{}, validationErrs...)); printErr != nil {
			return printErr
		}
	}
	if err != nil {
		return err
	}
	if !c.JSON {
		fmt.Println(c.Args.File, "is valid")
	}
	return nil
}

// readSchema reads and validates a schema file. For an invalid file, the error has the
// exit code exitInvalid.
func readSchema(path string) (*schema.Schema, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read schema")
	}
	s, err := schema.Parse(text)
	if err != nil {
		return nil, exitError{err, exitInvalid}
	}
	return s, nil
}
