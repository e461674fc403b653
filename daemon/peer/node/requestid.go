package node

import "strings"

// idSeparator separates an account's name, which cannot contain it, from a request ID.
const idSeparator = "/"

// QualifyID prefixes a request ID that a caller chose with the name of its client
// account, so that IDs of different accounts never collide.
func QualifyID(account, chosen string) string {
	return account + idSeparator + chosen
}

// UnqualifyID is the inverse of QualifyID: it returns the ID that the caller and the
// endpoint use. An ID without an account, which the system chose, is returned as it is.
func UnqualifyID(id string) string {
	_, chosen, qualified := strings.Cut(id, idSeparator)
	if !qualified {
		return id
	}
	return chosen
}
