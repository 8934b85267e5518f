#pragma once

/// @file
/// The fingerprint of a request.

#include "shedlever/http_messages.h"
#include "shedlever/request_fingerprint.h"

namespace shedlever {

/// Of what a server runs: method, host, target with its query, and body. Not of who passes the request on: clients
/// bring the same one at machines of any service, and as long as the caller counted, it cost three servers for each
/// service. Not of other headers either: id, deadline and key differ from one repeat to the next or follow from the
/// rest.
RequestFingerprint fingerprintOf(const HttpRequest& request);

}  // namespace shedlever
