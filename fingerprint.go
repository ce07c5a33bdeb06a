package briarferry

// fingerprintContentBits is the number of the fingerprint's lower bits that stand for the
// request's content.
const fingerprintContentBits = 32

// NewFingerprint returns the fingerprint by which the quarantine identifies a request. It joins
// a hash of the request's content with one of its content and its caller. Equal requests of
// several callers have different fingerprints of the same content.
func NewFingerprint(content, caller uint64) uint64 {
	return caller<<fingerprintContentBits | uint64(uint32(content))
}

// FingerprintContent returns the part of a fingerprint that stands for the request's content.
func FingerprintContent(fingerprint uint64) uint32 { return uint32(fingerprint) }
