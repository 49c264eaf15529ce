package hpack

import "sync"

const (
	huffmanEOS        = 256 // end-of-string symbol, which must not be encoded; its first bits serve as padding
	maxHuffmanCodeLen = 30  // bits
	maxPaddingLen     = 7   // bits
)

// huffmanTransition is the decoder's transition on four input bits: the next state and the symbol completed by the
// bits, if any. The shortest code has five bits, so four bits complete at most one symbol.
type huffmanTransition struct {
	next        int16 // invalidState if no code begins with the bits
	symbol      uint8
	emitsSymbol bool
	validEnd    bool // input may end here: the bits since the last symbol are padding, a prefix of EOS shorter than a byte
}

// invalidState is the state after bits that are not the beginning of any code.
const invalidState = -1

// huffmanCode holds the encoder's and the decoder's tables of the Huffman code.
type huffmanCode struct {
	codes       [257]uint32             // code of each symbol, right-aligned
	transitions [][16]huffmanTransition // by state and the next four bits; state 0 is the beginning of a symbol
}

// huffmanTables builds the tables on first use.
var huffmanTables = sync.OnceValue(func() *huffmanCode {
	codes := canonicalCodes()
	tree := buildTree(&codes)
	padding := paddingNodes(tree)
	transitions := make([][16]huffmanTransition, len(tree))
	for state := range tree {
		for nibble := range transitions[state] {
			transitions[state][nibble] = tree.transition(int16(state), nibble, padding)
		}
	}
	return &huffmanCode{codes: codes, transitions: transitions}
})

// canonicalCodes computes the code of each symbol from huffmanCodeLen. Codes are assigned in ascending order to symbols
// sorted by code length, then by symbol.
func canonicalCodes() (codes [257]uint32) {
	code, codeLen := uint32(0), uint8(0)
	for length := uint8(1); length <= maxHuffmanCodeLen; length++ {
		for symbol, l := range huffmanCodeLen {
			if l != length {
				continue
			}
			code <<= length - codeLen
			codeLen = length
			codes[symbol] = code
			code++
		}
	}
	return codes
}

// huffmanNode is an inner node of a huffmanTree. A child is the number of a node, or -1-symbol for a leaf, or noChild.
type huffmanNode struct{ children [2]int16 }

const noChild = int16(-1000)

// huffmanTree is the binary tree of the code. Node 0 is its root.
type huffmanTree []huffmanNode

func buildTree(codes *[257]uint32) huffmanTree {
	emptyNode := huffmanNode{children: [2]int16{noChild, noChild}}
	tree := huffmanTree{emptyNode}
	for symbol, l := range huffmanCodeLen {
		node := int16(0)
		for shift := int(l) - 1; shift > 0; shift-- {
			bit := codes[symbol] >> shift & 1
			if tree[node].children[bit] == noChild {
				tree = append(tree, emptyNode)
				tree[node].children[bit] = int16(len(tree) - 1)
			}
			node = tree[node].children[bit]
		}
		tree[node].children[codes[symbol]&1] = int16(-1 - symbol)
	}
	return tree
}

// paddingNodes returns the nodes at which a string may end: those reached from the root by at most seven 1 bits.
func paddingNodes(tree huffmanTree) map[int16]bool {
	padding := map[int16]bool{0: true}
	node := int16(0)
	for range maxPaddingLen {
		node = tree[node].children[1]
		padding[node] = true
	}
	return padding
}

// transition returns the transition from a node on four bits.
func (tree huffmanTree) transition(node int16, nibble int, padding map[int16]bool) huffmanTransition {
	t := huffmanTransition{}
	for shift := 3; shift >= 0; shift-- {
		child := tree[node].children[nibble>>shift&1]
		if child >= 0 {
			node = child
			continue
		}
		symbol := -1 - child
		if child == noChild || symbol == huffmanEOS {
			node = invalidState
			break
		}
		t.symbol, t.emitsSymbol, node = uint8(symbol), true, 0
	}
	t.next, t.validEnd = node, padding[node]
	return t
}

// appendHuffmanDecoded decodes src and appends the result to dst. The padding of src must be a prefix of EOS shorter
// than a byte (RFC 7541, section 5.2).
func appendHuffmanDecoded(dst, src []byte) ([]byte, error) {
	h := huffmanTables()
	state, validEnd := int16(0), true
	for _, b := range src {
		for _, nibble := range [2]byte{b >> 4, b & 15} {
			t := &h.transitions[state][nibble]
			if t.next == invalidState {
				return dst, errInvalidHuffman
			}
			if t.emitsSymbol {
				dst = append(dst, t.symbol)
			}
			state, validEnd = t.next, t.validEnd
		}
	}
	if !validEnd {
		return dst, errInvalidHuffman
	}
	return dst, nil
}

// huffmanEncodedLen returns the length in bytes of s in Huffman code.
func huffmanEncodedLen(s string) int {
	bits := 0
	for i := range len(s) {
		bits += int(huffmanCodeLen[s[i]])
	}
	return (bits + 7) / 8
}

// appendHuffmanEncoded appends s in Huffman code, padded with 1 bits.
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
