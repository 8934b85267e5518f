#pragma once

/// @file
/// Responses to the client: product headers, and the body of refusals.

#include "shedlever/platform_ports.h"

namespace shedlever {

/// @return delay before a refused request should be retried, if no better estimate exists; zero if it should not.
Duration defaultRetryAfter(Reason reason);

/// @return a response with product headers and the JSON body `{"outcome","reason","message","request_id"}`. It has a
/// `Retry-After` header only if the request was not run and may be retried.
HttpResponse refusalResponse(const Refusal& refusal);

/// Turns a server's response into the response to the client: keeps status and body, filters the headers and adds those
/// of the product.
void completeResponse(HttpResponse& response, const RequestId& id);

}  // namespace shedlever
