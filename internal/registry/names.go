package registry

import "fmt"

// maxNameLength is the maximum length of a name in bytes.
const maxNameLength = 64

// ValidateName accepts names of 1 to 64 bytes from a-z, 0-9, '-', '_' and '.'. The first and last byte must be a letter
// or a digit, and there must be no two consecutive dots. Other names are rejected with ErrInvalidArgument; kind is the
// kind of name in the error message.
//
// Names are used in paths and in database keys, and people compare them by eye. Therefore separators, upper case and
// characters that look alike are not allowed.
func ValidateName(kind, name string) error {
	if len(name) == 0 || len(name) > maxNameLength {
		return fmt.Errorf("%w: %s has %d bytes, want 1 to %d", ErrInvalidArgument, kind, len(name), maxNameLength)
	}
	for i := range len(name) {
		if !isLetterOrDigit(name[i]) && !isInnerPunctuation(name, i) {
			return fmt.Errorf("%w: %s %q has an invalid character at byte %d", ErrInvalidArgument, kind, name, i)
		}
	}
	return nil
}

func isLetterOrDigit(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
}

// isInnerPunctuation reports whether byte i of name is punctuation that is allowed at that position.
func isInnerPunctuation(name string, i int) bool {
	if i == 0 || i == len(name)-1 {
		return false
	}
	c := name[i]
	return c == '-' || c == '_' || c == '.' && name[i-1] != '.'
}

// validateNames validates two names and returns the error for the first invalid one.
func validateNames(kind1, name1, kind2, name2 string) error {
	if err := ValidateName(kind1, name1); err != nil {
		return err
	}
	return ValidateName(kind2, name2)
}
