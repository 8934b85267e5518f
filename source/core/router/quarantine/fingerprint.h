#pragma once

/// @file
/// Computes the fingerprint by which repeats of a request are recognised.

#include "shedlever/http_messages.h"
#include "shedlever/request_fingerprint.h"

namespace shedlever {

/// Covers what determines the work of the server: method, host, target with query, and body. The calling service is not
/// part of it, because clients send the same request through machines of any service. Other headers are not part of it
/// either: request id and deadline differ between repeats, and the key follows from the rest.
RequestFingerprint fingerprintOf(const HttpRequest& request);

}  // namespace shedlever
