package peer

import (
	"compress/gzip"

	"connectrpc.com/connect"
)

// minCompressedBytes is the size from which on a response is compressed: that of a large
// configuration, which compresses to a small part, not that of the usual exchanges.
const minCompressedBytes = 32 << 10

// withCompression has large responses be compressed, at little cost. What a decompressed message
// may take is bounded by maxMessageBytes.
var withCompression = connect.WithHandlerOptions(
	connect.WithCompression("gzip", newDecompressor, newCompressor),
	connect.WithCompressMinBytes(minCompressedBytes),
)

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }

func newCompressor() connect.Compressor {
	// The level is a valid one, which is all that can fail.
	w, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	return w
}
