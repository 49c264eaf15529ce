package hpack

import (
	"errors"
	"sync"
)

var errInvalidHuffman = errors.New("hpack: invalid Huffman code")

// step is what four more bits do to a decoder in some state: the next state, and a symbol where one ends.
type huffmanTransition struct {
	next        int16 // -1: the code is not in the table
	symbol      uint8
	emitsSymbol bool
	validEnd    bool // the padding so far is a prefix of EOS and shorter than a byte
}

type huffmanCode struct {
	codes       [257]uint32
	transitions [][16]huffmanTransition
}

// machine builds the decoder once: a state is an inner node of the code's tree, and a state's row says what
// each half byte leads to. The shortest code has five bits, so four bits end one symbol at the most.
var huffmanTables = sync.OnceValue(func() *huffmanCode {
	h := &huffmanCode{}
	code, n := uint32(0), uint8(0)
	for length := uint8(1); length <= 30; length++ {
		for sym, l := range huffmanCodeLen {
			if l == length {
				code <<= length - n
				n = length
				h.codes[sym] = code
				code++
			}
		}
	}
	type node struct{ kids [2]int16 } // >= 0: a node; < 0: the symbol -1-kid
	const none = int16(-1000)
	tree := []node{{kids: [2]int16{none, none}}}
	for sym, l := range huffmanCodeLen {
		at := int16(0)
		for bit := int(l) - 1; bit >= 0; bit-- {
			b := h.codes[sym] >> bit & 1
			if bit == 0 {
				tree[at].kids[b] = int16(-1 - sym)
				break
			}
			if tree[at].kids[b] == none {
				tree = append(tree, node{kids: [2]int16{none, none}})
				tree[at].kids[b] = int16(len(tree) - 1)
			}
			at = tree[at].kids[b]
		}
	}
	padding := map[int16]bool{0: true} // nodes that under eight ones lead to
	for at, i := int16(0), 0; i < 7; i++ {
		at = tree[at].kids[1]
		padding[at] = true
	}
	h.transitions = make([][16]huffmanTransition, len(tree))
	for state := range tree {
		for nibble := range 16 {
			s, at := huffmanTransition{}, int16(state)
			for bit := 3; bit >= 0; bit-- {
				kid := tree[at].kids[nibble>>bit&1]
				if kid >= 0 {
					at = kid
					continue
				}
				if sym := -1 - kid; kid == none || sym == 256 {
					at = -1
					break
				} else {
					s.symbol, s.emitsSymbol, at = uint8(sym), true, 0
				}
			}
			s.next, s.validEnd = at, padding[at]
			h.transitions[state][nibble] = s
		}
	}
	return h
})

// appendHuffman appends the symbols that src codes. Padding must be a prefix of EOS of under eight bits
// (RFC 7541, section 5.2).
func appendHuffmanDecoded(dst, src []byte) ([]byte, error) {
	h := huffmanTables()
	state, validEnd := int16(0), true
	for _, b := range src {
		for _, nibble := range [2]byte{b >> 4, b & 15} {
			s := &h.transitions[state][nibble]
			if s.next < 0 {
				return dst, errInvalidHuffman
			}
			if s.emitsSymbol {
				dst = append(dst, s.symbol)
			}
			state, validEnd = s.next, s.validEnd
		}
	}
	if !validEnd {
		return dst, errInvalidHuffman
	}
	return dst, nil
}

// huffmanLen is the length in bytes of s when coded.
func huffmanEncodedLen(s string) int {
	bits := 0
	for i := range len(s) {
		bits += int(huffmanCodeLen[s[i]])
	}
	return (bits + 7) / 8
}

// encodeHuffman appends s coded, padded with ones.
func appendHuffmanEncoded(dst []byte, s string) []byte {
	h := huffmanTables()
	bits, bitCount := uint64(0), uint8(0)
	for i := range len(s) {
		l := huffmanCodeLen[s[i]]
		bits = bits<<l | uint64(h.codes[s[i]])
		for bitCount += l; bitCount >= 8; {
			bitCount -= 8
			dst = append(dst, byte(bits>>bitCount))
		}
	}
	if bitCount > 0 {
		dst = append(dst, byte(bits<<(8-bitCount))|byte(1<<(8-bitCount)-1))
	}
	return dst
}
