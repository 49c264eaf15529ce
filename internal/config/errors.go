package config

import (
	"fmt"
	"strings"
)

// Problem is one invalid value in a file.
type Problem struct {
	Path    string // JSON pointer to the value; empty for the whole document
	Message string
}

func (p Problem) String() string {
	if p.Path == "" {
		return "/: " + p.Message
	}
	return p.Path + ": " + p.Message
}

// InvalidError lists all problems found in a file.
type InvalidError struct {
	File     string
	Problems []Problem
}

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, e.File+": "+p.String())
	}
	return strings.Join(lines, "\n")
}

// add appends a problem.
func (e *InvalidError) add(path, format string, args ...any) {
	e.Problems = append(e.Problems, Problem{path, fmt.Sprintf(format, args...)})
}

// orNil returns the error if it lists any problem, otherwise nil.
func (e *InvalidError) orNil() error {
	if len(e.Problems) == 0 {
		return nil
	}
	return e
}

// invalidDocument returns the error for a document that cannot be decoded.
func invalidDocument(file, text string) error {
	return &InvalidError{File: file, Problems: []Problem{{Message: text}}}
}
