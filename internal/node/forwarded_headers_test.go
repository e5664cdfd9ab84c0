package node

import (
	"slices"
	"strings"
	"testing"
)

// Guards against a caller's value of a header of the fleet that reaches the upstream because it is doubled, oddly written, listed in
// Connection or sent in a trailer.
func TestCallersSetNoHeaderOfTheFleet(t *testing.T) {
	target, received := startRecorder(t)
	_, address := startKeyed(t, target)
	for name, odd := range map[string]string{
		"plain":      "Account: forged\r\nCalling-Service: forged\r\n",
		"doubled":    "Account: forged\r\nAccount: forged\r\nCalling-Service: forged\r\nCalling-Service: forged\r\n",
		"case":       "aCCOUNT: forged\r\ncalling-sERVICE: forged\r\n",
		"underscore": "Calling_Service: forged\r\nREQUEST_ID: 7\r\n",
		"connection": "Connection: Account, Calling-Service, Request-Id, Api-Key\r\nAccount: forged\r\n",
		"upstream's": "Not-Run: forged\r\nLoad: forged\r\nSardinereach-Account: forged\r\nTime-Left: 9000\r\n",
	} {
		for _, path := range []string{"/open", "/s"} {
			res, err := roundTrip(t, address, "GET "+path+" HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\nApi-Key: "+testKey+"\r\n"+odd+"\r\n")
			if err != nil || res.StatusCode != 200 {
				t.Fatalf("%s %s: %v %v", name, path, res, err)
			}
			if res.Header.Get("Load") != "" {
				t.Errorf("%s %s: the load reaches the caller", name, path)
			}
			header := <-received
			if !slices.Equal(header["Account"], []string{"a1"}) || !slices.Equal(header["Calling-Service"], []string{"own"}) ||
				!slices.Equal(header["Request-Id"], []string{"7"}) {
				t.Errorf("%s %s: the upstream gets %v", name, path, header)
			}
			for field, values := range header {
				if text := strings.Join(values, ","); strings.Contains(text, "forged") || strings.Contains(text, testKey) {
					t.Errorf("%s %s: the upstream gets %s: %s", name, path, field, text)
				}
			}
		}
	}
}

// Guards against a key or an account in a trailer that is forwarded or counts as one of the header.
func TestTrailersAreNeitherReadNorForwarded(t *testing.T) {
	target, received := startRecorder(t)
	_, address := startKeyed(t, target)
	request := "PUT /open HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\nTransfer-Encoding: chunked\r\nTrailer: Api-Key, Account\r\n\r\n" +
		"1\r\nb\r\n0\r\nApi-Key: " + testKey + "\r\nAccount: forged\r\n\r\n"
	if res, err := roundTrip(t, address, request); err != nil || res.StatusCode != 200 {
		t.Fatalf("%v %v", res, err)
	}
	header := <-received
	if len(header["Account"])+len(header["Api-Key"])+len(header["Trailer"]) > 0 {
		t.Errorf("the upstream gets %v", header)
	}
}

// Guards against a request with two IDs, of which node and upstream may each take another one.
func TestDifferentRequestIDsAreRefused(t *testing.T) {
	target, received := startRecorder(t)
	_, address := startKeyed(t, target)
	for ids, want := range map[string]int{
		"Request-Id: 7\r\nRequest-Id: 8\r\n": 400, "Request-Id: 7\r\nRequest_id: 8\r\n": 400, "Request-Id: 7\r\nRequest-Id: 7\r\n": 200,
	} {
		res, err := roundTrip(t, address, "GET /open HTTP/1.1\r\nHost: h\r\n"+ids+"\r\n")
		if err != nil || res.StatusCode != want {
			t.Fatalf("%q: %v %v, want %d", ids, res, err, want)
		}
		if want != 200 {
			continue
		}
		if header := <-received; !slices.Equal(header["Request-Id"], []string{"7"}) {
			t.Errorf("%q: the upstream gets %v", ids, header)
		}
	}
}
