package peer

import (
	"strings"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// errNoMessage is the class of errors of a value that is no message of the protocol.
var errNoMessage = errs.Class("no message")

// codec encodes the messages between instances. Their texts, such as names of adapters and
// parts of prompts, come from clients and other programs and may hold any bytes; a
// message with a text that is not UTF-8 cannot be encoded. The codec replaces the bytes in
// question, so that one text doesn't keep all that a message says from the other instances.
type codec struct {
	log *zap.Logger
}

// Name returns the name of the encoding.
func (codec) Name() string { return "proto" }

// Marshal encodes a message.
func (c codec) Marshal(message any) ([]byte, error) { return c.MarshalAppend(nil, message) }

// MarshalAppend appends an encoded message to dst.
func (c codec) MarshalAppend(dst []byte, message any) ([]byte, error) {
	m, ok := message.(proto.Message)
	if !ok {
		return nil, errNoMessage.New("%T", message)
	}
	encoded, err := proto.MarshalOptions{}.MarshalAppend(dst, m)
	if err == nil {
		return encoded, nil
	}
	c.log.Debug("text in a message replaced", zap.String("message", string(m.ProtoReflect().Descriptor().Name())), zap.Error(err))
	repaired := proto.Clone(m)
	replaceInvalidText(repaired.ProtoReflect())
	return proto.MarshalOptions{}.MarshalAppend(dst, repaired)
}

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, message any) error {
	m, ok := message.(proto.Message)
	if !ok {
		return errNoMessage.New("%T", message)
	}
	return proto.Unmarshal(data, m)
}

// replaceInvalidText replaces what is not UTF-8 in the texts of a message and of the
// messages in it. The protocol has no maps.
func replaceInvalidText(m protoreflect.Message) {
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.IsList():
			for i, list := 0, value.List(); i < list.Len(); i++ {
				list.Set(i, validValue(field, list.Get(i)))
			}
		default:
			m.Set(field, validValue(field, value))
		}
		return true
	})
}

// validValue returns a value of a field with valid text.
func validValue(field protoreflect.FieldDescriptor, value protoreflect.Value) protoreflect.Value {
	switch field.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(strings.ToValidUTF8(value.String(), "\uFFFD"))
	case protoreflect.MessageKind:
		replaceInvalidText(value.Message())
	}
	return value
}
