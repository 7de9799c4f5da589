package responsehead_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"regexp"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"heatherrelay/internal/responsehead"
)

// bufferBytes is the size of the readers' buffers, and so of the largest head.
const bufferBytes = 4096

// grammar matches texts that begin with the head of a response, as RFC 9112 defines it; a
// reason may be left out together with the blank before it.
var grammar = regexp.MustCompile(`^HTTP/1\.(0|1) ([1-5][0-9][0-9])(?: (?:[\t !-~]|[^\x00-\x7f])*)?\r\n` + fieldLines + `\r\n`)

const fieldLines = "((?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:(?:[\t !-~]|[^\\x00-\\x7f])*\r\n)*)"

// isHead reports whether a text begins with a head whose framing is certain, and its length.
// usual is set if the values of its framing are of the kinds that are understood.
func isHead(text []byte) (length int, ok, usual bool) {
	// The expressions of the library match UTF-8; each byte above ASCII stands for one character.
	characters := make([]rune, len(text))
	for i, b := range text {
		characters[i] = rune(b)
	}
	match := grammar.FindStringSubmatch(string(characters))
	if match == nil || match[2] == "101" {
		return 0, false, false
	}
	var lengths, encodings []string
	usual = true
	for line := range strings.SplitSeq(match[3], "\r\n") {
		name, value, _ := strings.Cut(line, ":")
		switch value = strings.Trim(value, " \t"); strings.ToLower(name) {
		case "content-length":
			lengths = append(lengths, value)
			usual = usual && number.MatchString(value)
		case "transfer-encoding":
			encodings = append(encodings, value)
			usual = usual && strings.EqualFold(value, "chunked")
		case "trailer":
			usual = false
		}
	}
	if len(encodings) > 0 && (len(lengths) > 0 || match[1] == "0") {
		return 0, false, false
	}
	return len([]rune(match[0])), true, usual && len(lengths) <= 1 && len(encodings) <= 1
}

// number matches a length that is understood.
var number = regexp.MustCompile(`^[0-9]{1,18}$`)

// check compares what the package says of a text with the grammar.
func check(t *testing.T, text []byte) {
	t.Helper()
	length, ok, usual := isHead(text)
	ok = ok && length <= bufferBytes
	head, err := responsehead.Await(bufio.NewReaderSize(bytes.NewReader(text), bufferBytes))
	if ok != (err == nil) || ok && head.Length != length {
		t.Fatalf("%q: head %+v, error %v; a head by the grammar: %t, %d bytes", text, head, err, ok, length)
	}
	var header fasthttp.ResponseHeader
	reader := bufio.NewReaderSize(bytes.NewReader(text), bufferBytes)
	if err := responsehead.Read(reader, &header); err != nil {
		if ok && usual {
			t.Fatalf("%q is a head by the grammar and refused: %v", text, err)
		}
		return
	}
	rest, _ := io.ReadAll(reader)
	if !ok || header.StatusCode() != head.Status || len(text)-len(rest) != length {
		t.Fatalf("%q: read with status %d and %d bytes left; a head by the grammar: %t, %d bytes", text, header.StatusCode(), len(rest), ok, length)
	}
}

// soundHeads are heads that are unusual and valid.
func soundHeads() []string {
	const tokens = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	heads := []string{
		"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 \r\n\r\n", "HTTP/1.1 200\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 599 Odd: \t\xe9\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + tokens + ": all\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Blank: \t \r\n\r\n",
		"HTTP/1.1 200 OK\r\nX:a\r\nX:  b \t\r\nX: \xe9\xff\r\n\r\n", "HTTP/1.1 200 OK\r\ncontent-LENGTH: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nTrailer: X-Note\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close, X-Note\r\n\r\n",
		"HTTP/1.1 404 Not Found\r\nSet-Cookie: a=b\r\nSet-Cookie: c\r\nContent-Type:\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Field: value\r\n", 60) + "\r\n",
		"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 3<<10) + "\r\n\r\n",
	}
	for _, character := range tokens {
		heads = append(heads, fmt.Sprintf("HTTP/1.1 200 OK\r\n%c: a\r\nX%[1]c: b\r\n\r\n", character))
	}
	return heads
}

// brokenHeads are texts that are no heads.
func brokenHeads() []string {
	heads := []string{
		"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 099 OK\r\n\r\n", "HTTP/1.1 600 OK\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 +20 OK\r\n\r\n", "HTTP/1.1  200 OK\r\n\r\n", "HTTP/1.1\t200 OK\r\n\r\n",
		"HTTP/1.2 200 OK\r\n\r\n", "HTTP/2.0 200 OK\r\n\r\n", "HTTP/11 200 OK\r\n\r\n", "http/1.1 200 OK\r\n\r\n", " HTTP/1.1 200 OK\r\n\r\n",
		"\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 O\x01K\r\n\r\n", "HTTP/1.1 200 OK\n\r\n", "HTTP/1.1 200 OK\r\nX: a\n\r\n", "HTTP/1.1 200 OK\r\nX: a\r\n\n",
		"HTTP/1.1 200 OK\r\n X: a\r\n\r\n", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n", "HTTP/1.1 200 OK\r\nX: a\r\n\tb\r\n\r\n", "HTTP/1.1 200 OK\r\nX\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 4<<10) + "\r\n\r\n", "broken", "",
	}
	for b := range 256 {
		character := string([]byte{byte(b)})
		if !strings.Contains("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz:", character) {
			heads = append(heads, "HTTP/1.1 200 OK\r\nX"+character+"Y: a\r\n\r\n", "HTTP/1.1 200 OK\r\nX"+character+": a\r\n\r\n", "HTTP/1.1 200 OK\r\n"+character+"X: a\r\n\r\n")
		}
		if (b < ' ' && b != '\t') || b == 0x7f {
			heads = append(heads, "HTTP/1.1 200 OK\r\nX: "+character+"\r\n\r\n", "HTTP/1.1 200 O"+character+"\r\n\r\n")
		}
	}
	return heads
}

// TestHeadsAreThoseOfTheGrammar guards against a head that is refused though it is one, and
// against bytes that are taken for a head though they are none.
func TestHeadsAreThoseOfTheGrammar(t *testing.T) {
	for _, text := range soundHeads() {
		for _, rest := range []string{"", "body", "HTTP/1.1 200 OK\r\n\r\n"} {
			check(t, []byte(text+rest))
			var header fasthttp.ResponseHeader
			if err := responsehead.Read(bufio.NewReaderSize(strings.NewReader(text+rest), bufferBytes), &header); err != nil {
				t.Errorf("%.200q is refused: %v", text, err)
			}
		}
	}
	for _, text := range brokenHeads() {
		check(t, []byte(text))
		if _, ok, _ := isHead([]byte(text)); ok && len(text) <= bufferBytes {
			t.Errorf("%q is a head by the grammar of the test", text)
		}
	}
}

// TestChangedHeadsAreThoseOfTheGrammar is FuzzHead with changes of sound and broken heads that
// a seed decides.
func TestChangedHeadsAreThoseOfTheGrammar(t *testing.T) {
	const seed, runs = 52, 50_000
	random := rand.New(rand.NewPCG(seed, 0))
	texts := append(soundHeads(), brokenHeads()...)
	pieces := []string{"\r\n", "\n", "\r", " ", "\t", ":", "\x00", "\x7f", "\xe9", "HTTP/1.1 ", "000", "100", "Content-Length", "Transfer-Encoding", "chunked", "0", "X-Note: a\r\n"}
	sound := 0
	for range runs {
		text := []byte(texts[random.IntN(len(texts))])
		for range random.IntN(4) {
			at := random.IntN(len(text) + 1)
			switch piece := pieces[random.IntN(len(pieces))]; random.IntN(4) {
			case 0:
				text = append(text[:at:at], append([]byte(piece), text[at:]...)...)
			case 1:
				text = append(text[:at:at], append([]byte{byte(random.IntN(256))}, text[at:]...)...)
			case 2:
				text = append(text[:at:at], text[at+random.IntN(min(len(text)-at, 8)+1):]...)
			default:
				text = append(text[:at:at], texts[random.IntN(len(texts))]...)
			}
		}
		check(t, text)
		if _, ok, _ := isHead(text); ok {
			sound++
		}
	}
	if sound < runs/20 || sound > runs/20*19 {
		t.Errorf("%d of %d texts are heads", sound, runs)
	}
}

// FuzzHead compares what the package says of any text with the grammar.
func FuzzHead(f *testing.F) {
	for _, text := range append(soundHeads(), brokenHeads()...) {
		f.Add([]byte(text))
	}
	f.Fuzz(check)
}
