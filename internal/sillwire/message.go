package sillwire

type frameType byte

const (
	typeRun frameType = iota + 1
	typeBody
	typeAttach
	typeRefuse
	typeHead
	typeChunk
	typeTokens
	typeFinish
	typePing
	typePong
	typeLookup
	typeLookupAnswer
	typeFetchBundle
	typeBundle
	typeDrain
	typeDrained
	typeCancel
	typeFetchWeights
	typeWeightPlan
	typeWeightStatus
)

// Message is a typed message of the inner protocol.
type Message interface {
	frameType() frameType
}

func newMessage(t frameType) Message {
	switch t {
	case typeRun:
		return &Run{}
	case typeBody:
		return &Body{}
	case typeAttach:
		return &Attach{}
	case typeRefuse:
		return &Refuse{}
	case typeHead:
		return &Head{}
	case typeChunk:
		return &Chunk{}
	case typeTokens:
		return &Tokens{}
	case typeFinish:
		return &Finish{}
	case typePing:
		return &Ping{}
	case typePong:
		return &Pong{}
	case typeLookup:
		return &Lookup{}
	case typeLookupAnswer:
		return &LookupAnswer{}
	case typeFetchBundle:
		return &FetchBundle{}
	case typeBundle:
		return &Bundle{}
	case typeDrain:
		return &Drain{}
	case typeDrained:
		return &Drained{}
	case typeCancel:
		return &Cancel{}
	case typeFetchWeights:
		return &FetchWeights{}
	case typeWeightPlan:
		return &WeightPlan{}
	case typeWeightStatus:
		return &WeightStatus{}
	}
	return nil
}

func (*Run) frameType() frameType          { return typeRun }
func (*Body) frameType() frameType         { return typeBody }
func (*Attach) frameType() frameType       { return typeAttach }
func (*Refuse) frameType() frameType       { return typeRefuse }
func (*Head) frameType() frameType         { return typeHead }
func (*Chunk) frameType() frameType        { return typeChunk }
func (*Tokens) frameType() frameType       { return typeTokens }
func (*Finish) frameType() frameType       { return typeFinish }
func (*Ping) frameType() frameType         { return typePing }
func (*Pong) frameType() frameType         { return typePong }
func (*Lookup) frameType() frameType       { return typeLookup }
func (*LookupAnswer) frameType() frameType { return typeLookupAnswer }
func (*FetchBundle) frameType() frameType  { return typeFetchBundle }
func (*Bundle) frameType() frameType       { return typeBundle }
func (*Drain) frameType() frameType        { return typeDrain }
func (*Drained) frameType() frameType      { return typeDrained }
func (*Cancel) frameType() frameType       { return typeCancel }
func (*FetchWeights) frameType() frameType { return typeFetchWeights }
func (*WeightPlan) frameType() frameType   { return typeWeightPlan }
func (*WeightStatus) frameType() frameType { return typeWeightStatus }
