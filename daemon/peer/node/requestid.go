package node

import "strings"

// idSeparator stands between an account's name, which can't hold it, and an ID.
const idSeparator = "/"

// QualifyID makes a request ID that a caller chose unique among client accounts.
func QualifyID(account, chosen string) string {
	return account + idSeparator + chosen
}

// UnqualifyID is the inverse of QualifyID: the ID as the caller and the endpoint
// know it. An ID that the system chose stays as it is.
func UnqualifyID(id string) string {
	_, chosen, qualified := strings.Cut(id, idSeparator)
	if !qualified {
		return id
	}
	return chosen
}
