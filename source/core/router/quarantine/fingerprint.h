#pragma once

/// @file
/// The fingerprint of a request.

#include "shedlever/http_messages.h"
#include "shedlever/identifiers.h"
#include "shedlever/request_fingerprint.h"

namespace shedlever {

/// Of caller, method, host, target and body; not of the id, the deadline or the key, which differ from one repeat to
/// the next or follow from the rest. Takes about 1 us for a request without a body, and 1 ms for each 1.5 MB of one.
/// @param caller the service on whose machine the request began: its requests can't be taken for another service's.
RequestFingerprint fingerprintOf(const ServiceName& caller, const HttpRequest& request);

}  // namespace shedlever
