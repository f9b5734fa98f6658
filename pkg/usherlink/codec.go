package usherlink

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
)

const (
	// Version is the version of the envelope format. Messages of any other version are rejected.
	Version = 1
	// MaxMessageBytes is the maximum size of a message on a stream.
	MaxMessageBytes = 1 << 20
	// MaxDatagramBytes is the maximum size of a message in a datagram.
	MaxDatagramBytes = 1150

	lengthBytes    = 4
	maxItems       = 1 << 16
	maxNestedLevel = 16
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_link")
	// ErrMalformed is the type of errors for messages that cannot be encoded or decoded or are of an unknown kind.
	ErrMalformed = Errors.NewType("malformed")
	// ErrTooLarge is the type of errors for messages that exceed their size limit.
	ErrTooLarge = Errors.NewType("too_large")
	// ErrVersion is the type of errors for messages with another version of the envelope.
	ErrVersion = Errors.NewType("version")
	// ErrUnreachable is the type of errors for messages that were not sent, as there is no connection to the peer, and for
	// addresses that are invalid or on which a node cannot listen.
	ErrUnreachable = Errors.NewType("unreachable", errorx.Temporary())
	// ErrRemote is the type of errors returned by the peer's handler.
	ErrRemote = Errors.NewType("remote")
	// ErrNoResponse is the type of errors for messages that the peer may have received but to which no response arrived.
	ErrNoResponse = Errors.NewType("unanswered", errorx.Temporary())

	encoder = mustEncoder()
	decoder = mustDecoder()
)

type (
	// Payload is the undecoded body of a message.
	Payload []byte

	envelope struct {
		_       struct{} `cbor:",toarray"`
		Version uint8
		Kind    string
		Body    cbor.RawMessage
		Error   string
	}
)

// Decode decodes the payload into value. It returns ErrMalformed if the payload does not match the type of value.
func (p Payload) Decode(value any) error {
	if err := decoder.Unmarshal(p, value); err != nil {
		return ErrMalformed.Wrap(err, "decode %T", value)
	}
	return nil
}

// Encode encodes value in the message format, for handlers that store a message.
func Encode(value any) (Payload, error) {
	data, err := encoder.Marshal(value)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "encode %T", value)
	}
	return data, nil
}

// DecodeEnvelope decodes a complete message as received from the network. It is exported for fuzzing.
func DecodeEnvelope(data []byte) (kind string, body Payload, err error) {
	var e envelope
	if err := decoder.Unmarshal(data, &e); err != nil {
		return "", nil, ErrMalformed.Wrap(err, "decode envelope of %d bytes", len(data))
	}
	if e.Version != Version {
		return "", nil, ErrVersion.New("peer uses envelope version %d, this process %d", e.Version, Version)
	}
	if e.Error != "" {
		return e.Kind, Payload(e.Body), ErrRemote.New("%s", e.Error)
	}
	return e.Kind, Payload(e.Body), nil
}

func encodeEnvelope(kind string, value any, handlerErr error) ([]byte, error) {
	e := envelope{Version: Version, Kind: kind}
	if handlerErr != nil {
		e.Error = handlerErr.Error()
	}
	if value != nil {
		body, err := Encode(value)
		if err != nil {
			return nil, err
		}
		e.Body = cbor.RawMessage(body)
	}
	data, err := Encode(e)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxMessageBytes {
		return nil, ErrTooLarge.New("message %s of %d bytes exceeds the limit of %d", kind, len(data), MaxMessageBytes)
	}
	return data, nil
}

func writeFrame(w io.Writer, data []byte) error {
	frame := make([]byte, lengthBytes+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	copy(frame[lengthBytes:], data)
	_, err := w.Write(frame)
	return err
}

func readFrame(r io.Reader) ([]byte, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxMessageBytes {
		return nil, ErrTooLarge.New("message of %d bytes exceeds the limit of %d", size, MaxMessageBytes)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	return data, nil
}

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxItems, MaxMapPairs: maxItems, MaxNestedLevels: maxNestedLevel}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
