#pragma once

/// @file
/// What goes back to the caller: headers of the product, and the body of refusals.

#include "shedlever/platform_ports.h"

namespace shedlever {

/// @return when a refused request is worth another try, where nobody knows better; zero when it never is.
Duration defaultRetryAfter(Reason reason);

/// @return status, product headers and a JSON body `{"outcome","reason","message","request_id"}`. Only
/// what was not run carries `Retry-After`.
HttpResponse refusalResponse(const Refusal& refusal);

/// Makes the server's answer the caller's: status and body stay, headers are filtered and completed.
void completeResponse(HttpResponse& answer, const RequestId& id);

}  // namespace shedlever
