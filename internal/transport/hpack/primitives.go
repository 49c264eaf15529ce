package hpack

// maxIntegerShift limits an integer to five bytes behind its prefix.
const maxIntegerShift = 28

// readInteger reads an integer with a prefix of so many bits (RFC 7541, section 5.1). It returns the bytes
// behind the integer.
func readInteger(b []byte, prefixBits uint8) (uint64, []byte, error) {
	if len(b) == 0 {
		return 0, nil, ErrTruncated
	}
	limit := uint64(1)<<prefixBits - 1
	n := uint64(b[0]) & limit
	if n < limit {
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

// appendInteger appends an integer; pattern holds the bits before its prefix.
func appendInteger(dst []byte, pattern byte, prefixBits uint8, n uint64) []byte {
	limit := uint64(1)<<prefixBits - 1
	if n < limit {
		return append(dst, pattern|byte(n))
	}
	dst = append(dst, pattern|byte(limit))
	for n -= limit; n >= 0x80; n >>= 7 {
		dst = append(dst, byte(n)|0x80)
	}
	return append(dst, byte(n))
}

// appendString appends a string literal (RFC 7541, section 5.2), Huffman coded where that is shorter.
func appendString(dst []byte, s string) []byte {
	if n := huffmanEncodedLen(s); n < len(s) {
		return appendHuffmanEncoded(appendInteger(dst, patternHuffman, prefixBitsString, uint64(n)), s)
	}
	return append(appendInteger(dst, 0, prefixBitsString, uint64(len(s))), s...)
}
