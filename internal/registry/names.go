package registry

import "fmt"

// maxNameLength is the largest number of bytes in a name.
const maxNameLength = 64

// ValidateName accepts 1 to 64 bytes of a-z, 0-9, '-', '_' and '.'. The first and last byte must be a letter or a
// digit, and no two dots may stand in a row. Other names are rejected with ErrInvalidArgument; kind tells in the
// error what is named.
//
// Names become parts of paths and of database keys, and people compare them by eye. So there are no separators, no
// upper case and no character that can be mistaken for another.
func ValidateName(kind, name string) error {
	if len(name) == 0 || len(name) > maxNameLength {
		return fmt.Errorf("%w: %s of %d bytes, 1 to %d are allowed", ErrInvalidArgument, kind, len(name), maxNameLength)
	}
	for i := range len(name) {
		if !isLetterOrDigit(name[i]) && !isInnerPunctuation(name, i) {
			return fmt.Errorf("%w: %s %q at byte %d", ErrInvalidArgument, kind, name, i)
		}
	}
	return nil
}

func isLetterOrDigit(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
}

// isInnerPunctuation reports whether byte i of name is punctuation that may stand there.
func isInnerPunctuation(name string, i int) bool {
	if i == 0 || i == len(name)-1 {
		return false
	}
	c := name[i]
	return c == '-' || c == '_' || c == '.' && name[i-1] != '.'
}

// validateNames validates two names and returns the error of the first invalid one.
func validateNames(kind1, name1, kind2, name2 string) error {
	if err := ValidateName(kind1, name1); err != nil {
		return err
	}
	return ValidateName(kind2, name2)
}
