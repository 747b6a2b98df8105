package assembler

//go:generate stringer -type=Owner -linecomment

// Owner tells to which request an answer on a connection belongs.
type Owner int

// Owners. The comment behind a constant is its written name.
const (
	// Own is an answer to the request that was sent last.
	Own Owner = iota // own
	// Other is an answer to another request.
	Other // other
	// Unknown is an answer of which that cannot be told. It says nothing about the request.
	Unknown // unknown
)

// FindOwner returns the owner of an answer to the request requestID that names the request
// answerID, or names none if that is empty, which only an answer with an optional name may. On
// a connection that carried earlier requests (kept) an answer without a name may be an earlier
// one, written once more.
func FindOwner(requestID, answerID string, optional, kept bool) Owner {
	switch {
	case answerID != "" && answerID == requestID:
		return Own
	case answerID != "" || !optional:
		return Other
	case kept:
		return Unknown
	}
	return Own
}
