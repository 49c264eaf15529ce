package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed gateway.schema.json
var gatewaySchema []byte

//go:embed workers.schema.json
var workersSchema []byte

//go:embed members.schema.json
var membersSchema []byte

// schemaResource is the name of a schema within its compiler; it appears nowhere else.
const schemaResource = "schema.json"

// pointerEscaper escapes one token of a JSON pointer (RFC 6901, section 3).
var pointerEscaper = strings.NewReplacer("~", "~0", "/", "~1")

// decode validates a document against a schema and unmarshals it into out. An invalid document is reported as an
// InvalidError, in which file is the document's name.
func decode(file string, raw, schema []byte, out any) error {
	if err := validate(file, raw, schema); err != nil {
		return err
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return invalidDocument(file, err.Error())
	}
	return nil
}

// validate validates a document against a schema. It returns an InvalidError if the document violates the schema.
func validate(file string, raw, schema []byte) error {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return invalidDocument(file, describeSyntaxError(raw, err))
	}
	schemaDocument, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return err
	}
	compiler := jsonschema.NewCompiler()
	compiler.AssertFormat()
	if err := compiler.AddResource(schemaResource, schemaDocument); err != nil {
		return err
	}
	compiled, err := compiler.Compile(schemaResource)
	if err != nil {
		return err
	}
	err = compiled.Validate(document)
	var violation *jsonschema.ValidationError
	if errors.As(err, &violation) {
		invalid := &InvalidError{File: file}
		invalid.addViolations(violation)
		return invalid
	}
	return err
}

// addViolations adds the innermost causes of a violation, because they point to the invalid values.
func (e *InvalidError) addViolations(violation *jsonschema.ValidationError) {
	if len(violation.Causes) > 0 {
		for _, cause := range violation.Causes {
			e.addViolations(cause)
		}
		return
	}
	path := ""
	for _, token := range violation.InstanceLocation {
		path += "/" + pointerEscaper.Replace(token)
	}
	if unknown, ok := violation.ErrorKind.(*kind.AdditionalProperties); ok {
		for _, property := range unknown.Properties {
			e.add(path+"/"+property, "no such setting")
		}
		return
	}
	e.add(path, "%s", violation.ErrorKind.LocalizedString(message.NewPrinter(language.English)))
}

// describeSyntaxError describes a JSON syntax error with its line number.
func describeSyntaxError(raw []byte, err error) string {
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		before := raw[:min(int(syntax.Offset), len(raw))]
		return fmt.Sprintf("line %d: %v", lineCount(before), err)
	case errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF):
		return fmt.Sprintf("line %d: the file ends within a value", lineCount(raw))
	}
	return err.Error()
}

// lineCount returns the number of lines; the last line may lack a newline.
func lineCount(raw []byte) int { return 1 + bytes.Count(raw, []byte("\n")) }
