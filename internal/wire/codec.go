package wire

import (
	"encoding/binary"
	"io"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"github.com/damasklb/damasklb/internal/fault"
)

// Limits of one message. They bound the memory that a faulty peer can claim.
const (
	MaxMessageBytes = 4 << 20
	maxNesting      = 16
	maxElements     = 1 << 17
	headerBytes     = 5
)

// kinds maps the kind byte on the wire to the message type. The position is
// part of the protocol: append only.
var kinds = []reflect.Type{
	reflect.TypeFor[Hello](), reflect.TypeFor[Ping](), reflect.TypeFor[Pong](),
	reflect.TypeFor[UpstreamUp](), reflect.TypeFor[UpstreamDown](), reflect.TypeFor[Credit](),
	reflect.TypeFor[Want](), reflect.TypeFor[Start](), reflect.TypeFor[NotStarted](),
	reflect.TypeFor[Result](), reflect.TypeFor[Query](), reflect.TypeFor[QueryReply](),
	reflect.TypeFor[Fence](), reflect.TypeFor[FenceReply](), reflect.TypeFor[Forward](),
	reflect.TypeFor[ForwardReply](), reflect.TypeFor[Lookup](), reflect.TypeFor[Witness](),
	reflect.TypeFor[WitnessAck](), reflect.TypeFor[MapNotice](), reflect.TypeFor[ConfigNotice](),
	reflect.TypeFor[Drain](),
	reflect.TypeFor[AgentBeat](), reflect.TypeFor[EntryBeat](), reflect.TypeFor[Assign](),
	reflect.TypeFor[Withdraw](), reflect.TypeFor[RunReport](), reflect.TypeFor[Resume](),
}

var kindOf = func() map[reflect.Type]byte {
	m := make(map[reflect.Type]byte, len(kinds))
	for i, t := range kinds {
		m[t] = byte(i + 1)
	}
	return m
}()

var (
	encMode = must(cbor.EncOptions{Sort: cbor.SortNone}.EncMode())
	decMode = must(cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		// Encoding does not check strings, so a name that is not UTF-8 must be readable.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Message is a pointer to one of the message types of this package.
type Message any

// Encode returns the frame of m: a kind byte, the body's length as four bytes
// in network order, and the body in CBOR.
func Encode(m Message) ([]byte, error) {
	kind, ok := kindOf[reflect.TypeOf(m).Elem()]
	if !ok {
		return nil, fault.BadMessage.New("type %T is not a message", m)
	}
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, fault.BadMessage.Wrap(err, "encode %T", m)
	}
	if len(body) > MaxMessageBytes {
		return nil, fault.TooLarge.New("message %T has %d bytes, at most %d are allowed", m, len(body), MaxMessageBytes)
	}
	frame := make([]byte, headerBytes, headerBytes+len(body))
	frame[0] = kind
	binary.BigEndian.PutUint32(frame[1:], uint32(len(body)))
	return append(frame, body...), nil
}

// Read reads one frame from r and decodes it.
func Read(r io.Reader) (Message, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, fault.LinkClosed.Wrap(err, "read frame header")
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size > MaxMessageBytes {
		return nil, fault.TooLarge.New("frame of %d bytes, at most %d are allowed", size, MaxMessageBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fault.LinkClosed.Wrap(err, "read frame body")
	}
	return Decode(header[0], body)
}

// Decode decodes the body of a frame of the given kind.
func Decode(kind byte, body []byte) (Message, error) {
	if kind == 0 || int(kind) > len(kinds) {
		return nil, fault.UnknownKind.New("message kind %d is unknown", kind)
	}
	v := reflect.New(kinds[kind-1])
	if err := decMode.Unmarshal(body, v.Interface()); err != nil {
		return nil, fault.BadMessage.Wrap(err, "decode %s", kinds[kind-1].Name())
	}
	return v.Interface(), nil
}
