package peerhttp

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const (
	// messageFieldBytes is what a message inside another one takes decoded, with its place in a list that has just grown and what a
	// service makes of it, in bytes.
	messageFieldBytes = 320
	// stringFieldBytes is what a string or bytes take besides their content.
	stringFieldBytes = 96
	// scalarFieldBytes is what a number takes.
	scalarFieldBytes = 24
	// contentCopies is how often the content of a string is held: decoded, and where a service keeps it.
	contentCopies = 2
	// maxMessageDepth is more than any message of a router has. What is deeper isn't decoded into fields.
	maxMessageDepth = 16
)

// decodedBytes estimates what a message takes decoded, without decoding it. What isn't valid is left out: the decoder stops there.
func decodedBytes(message protoreflect.MessageDescriptor, data []byte) int64 {
	return messageFieldBytes + fieldsBytes(message, data, maxMessageDepth)
}

func fieldsBytes(message protoreflect.MessageDescriptor, data []byte, depth int) (total int64) {
	for len(data) > 0 {
		number, kind, tagged := protowire.ConsumeTag(data)
		if tagged < 0 {
			return total
		}
		size := protowire.ConsumeFieldValue(number, kind, data[tagged:])
		if size < 0 {
			return total
		}
		value := data[tagged : tagged+size]
		data = data[tagged+size:]
		field := message.Fields().ByNumber(number)
		switch {
		case kind != protowire.BytesType:
			total += scalarFieldBytes
			continue
		case field == nil || depth == 0: // It is kept as it came.
			total += stringFieldBytes + contentCopies*int64(size)
			continue
		}
		content, _ := protowire.ConsumeBytes(value) // ConsumeFieldValue has found it.
		switch field.Kind() {
		case protoreflect.MessageKind, protoreflect.GroupKind:
			total += messageFieldBytes + fieldsBytes(field.Message(), content, depth-1)
		case protoreflect.StringKind, protoreflect.BytesKind:
			total += stringFieldBytes + contentCopies*int64(len(content))
		default: // Numbers, of which each takes at least a byte.
			total += scalarFieldBytes * int64(len(content))
		}
	}
	return total
}
