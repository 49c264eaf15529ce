package hpack

// maxIntegerShift limits the encoding of an integer to five bytes after its prefix.
const maxIntegerShift = 28

// readInteger reads an integer with a prefix of prefixBits bits (RFC 7541, section 5.1). It returns the integer and the
// bytes after it.
func readInteger(b []byte, prefixBits uint8) (uint64, []byte, error) {
	if len(b) == 0 {
		return 0, nil, ErrTruncated
	}
	prefixMax := uint64(1)<<prefixBits - 1
	n := uint64(b[0]) & prefixMax
	if n < prefixMax {
		return n, b[1:], nil
	}
	for i, shift := 1, 0; i < len(b); i, shift = i+1, shift+7 {
		if shift > maxIntegerShift {
			return 0, nil, ErrIntegerOverflow
		}
		n += uint64(b[i]&0x7f) << shift
		if b[i]&0x80 == 0 {
			return n, b[i+1:], nil
		}
	}
	return 0, nil, ErrTruncated
}

// appendInteger appends an integer with a prefix of prefixBits bits. pattern holds the bits before the prefix.
func appendInteger(dst []byte, pattern byte, prefixBits uint8, n uint64) []byte {
	prefixMax := uint64(1)<<prefixBits - 1
	if n < prefixMax {
		return append(dst, pattern|byte(n))
	}
	dst = append(dst, pattern|byte(prefixMax))
	for n -= prefixMax; n >= 0x80; n >>= 7 {
		dst = append(dst, byte(n)|0x80)
	}
	return append(dst, byte(n))
}

// appendString appends a string literal (RFC 7541, section 5.2), Huffman coded if that is shorter.
func appendString(dst []byte, s string) []byte {
	if n := huffmanEncodedLen(s); n < len(s) {
		return appendHuffmanEncoded(appendInteger(dst, patternHuffman, prefixBitsString, uint64(n)), s)
	}
	return append(appendInteger(dst, 0, prefixBitsString, uint64(len(s))), s...)
}
