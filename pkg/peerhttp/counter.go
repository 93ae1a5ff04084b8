package peerhttp

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"github.com/lavendershunt/lavendershunt/pkg/memory"
)

const (
	// unaryType and streamType are the content types of calls between routers: a message, or messages with a prefix each.
	unaryType  = "application/proto"
	streamType = "application/connect+proto"
	// prefixBytes is the size of a prefix: a byte of flags and the size of the message. Messages aren't compressed.
	prefixBytes = 5
	// messageTime bounds the time in which a message arrives.
	messageTime = 10 * time.Second
	// bufferCopies is how often the bytes of a message are held while it is decoded: as they came, and in a buffer of the decoder, which
	// may be twice as large.
	bufferCopies = 3
	// callBytes is what a call takes besides its headers and its message: its records and the stacks of its goroutines. headerBytes is
	// what a header takes besides its bytes.
	callBytes   = 12 << 10
	headerBytes = 128
	// writeStall is how long a part of an answer may wait for its reader.
	writeStall = 10 * time.Second
)

var (
	// errFormat means that a call isn't one of a router.
	errFormat = errors.New("peerhttp: not a call of a router")
	// errCompressed means that a message is compressed, which routers' messages aren't.
	errCompressed = fmt.Errorf("%w: the message is compressed", errFormat)
)

// counter reads the message of each call, counts what it takes decoded and then has the call served. It answers anybody who reaches the
// address: many calls, messages that don't end, and messages that take many times their size decoded.
type counter struct {
	next      http.Handler
	account   *memory.Account
	onRefusal func(netip.Addr, error)
}

// ServeHTTP implements http.Handler.
func (c *counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	method, ok := methodOf(r.URL.Path)
	if !ok || r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	address := addressOf(r.RemoteAddr)
	held := c.account.Open(address, "")
	defer held.Close()
	message, err := readCall(w, r, method, held)
	switch {
	case errors.Is(err, memory.ErrFull), errors.Is(err, memory.ErrShare):
		c.onRefusal(address, err)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.Is(err, memory.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, errFormat):
		http.Error(w, err.Error(), http.StatusUnsupportedMediaType)
	case err != nil: // The message has not come in time, or was ended for others.
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		r = r.WithContext(memory.WithHolding(r.Context(), held))
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(message)), int64(len(message))
		c.next.ServeHTTP(&countedWriter{w, held}, r)
	}
}

// readCall reads the message of a call with its prefix, if it has one, and counts it. Its errors wrap those of package memory, errFormat
// or those of the connection.
func readCall(w http.ResponseWriter, r *http.Request, method protoreflect.MethodDescriptor, held *memory.Holding) ([]byte, error) {
	head := int64(callBytes)
	for name, values := range r.Header {
		for _, value := range values {
			head += int64(len(name)+len(value)) + headerBytes
		}
	}
	if err := held.Grow(head); err != nil {
		return nil, err
	}
	streaming := method.IsStreamingServer() || method.IsStreamingClient()
	if want := map[bool]string{false: unaryType, true: streamType}[streaming]; r.Header.Get("Content-Type") != want {
		return nil, fmt.Errorf("%w: the content type is not %s", errFormat, want)
	}
	if r.Header.Get("Content-Encoding") != "" {
		return nil, errCompressed
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(messageTime)) // On an error the call has ended already.
	held.Arrive(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	defer held.Arrived()
	source, announced := io.Reader(r.Body), r.ContentLength
	var prefix []byte
	if streaming {
		prefix = make([]byte, prefixBytes)
		if _, err := io.ReadFull(r.Body, prefix); err != nil {
			return nil, err
		}
		if prefix[0] != 0 {
			return nil, errCompressed
		}
		announced = int64(binary.BigEndian.Uint32(prefix[1:]))
		source = io.LimitReader(r.Body, announced)
	}
	if announced > MaxMessageBytes {
		return nil, memory.ErrTooLarge
	}
	message, err := memory.ReadBody(source, announced, MaxMessageBytes, held, func(int) {})
	if err != nil {
		return nil, err
	}
	_ = control.SetReadDeadline(time.Time{}) // As above.
	if err := held.Grow(bufferCopies*int64(len(message)) + decodedBytes(method.Input(), message)); err != nil {
		return nil, err
	}
	return append(prefix, message...), nil
}

// methodOf returns the method that a path names.
func methodOf(path string) (protoreflect.MethodDescriptor, bool) {
	service, name, ok := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if !ok {
		return nil, false
	}
	found, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName(service))
	if err != nil {
		return nil, false
	}
	descriptor, ok := found.(protoreflect.ServiceDescriptor)
	if !ok {
		return nil, false
	}
	method := descriptor.Methods().ByName(protoreflect.Name(name))
	return method, method != nil
}

// addressOf returns the IP address of a caller, an invalid one if it can't be read.
func addressOf(remote string) netip.Addr {
	address, err := netip.ParseAddrPort(remote)
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}

// countedWriter counts what is written until the caller has taken it, for at most writeStall.
type countedWriter struct {
	http.ResponseWriter
	held *memory.Holding
}

// Write implements http.ResponseWriter.
func (w *countedWriter) Write(p []byte) (int, error) {
	n := int64(len(p))
	if err := w.held.Grow(n); err != nil {
		return 0, err
	}
	defer w.held.Shrink(n)
	defer w.limit()()
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher. An error shows in the next Write.
func (w *countedWriter) Flush() {
	defer w.limit()()
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// limit sets the time for a write, and returns the function that takes it back: an answer may pause for any time.
func (w *countedWriter) limit() (end func()) {
	control := http.NewResponseController(w.ResponseWriter)
	_ = control.SetWriteDeadline(time.Now().Add(writeStall)) // On an error the call has ended already.
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}

// Unwrap returns the writer for http.ResponseController.
func (w *countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
