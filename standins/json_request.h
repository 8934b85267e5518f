#pragma once

/// @file
/// Answers of the stand-ins to bodies that they can't read.

#include <nlohmann/json.hpp>

#include "shedlever/errors.h"
#include "standins/standin_http_server.h"

namespace shedlever::standins {

/// Answers 400 with the findings.
inline void replyFindings(StandinResponder& responder, const Findings& findings) {
  responder.replyJson(400, nlohmann::json{{"message", toString(findings)}}.dump());
}

/// Runs `use` on what `read` makes of the body and answers 200; answers 400 with the findings if it can't.
/// @param read from JSON to leaf::result.
template <class Read, class Use>
void handleJsonBody(const StandinRequest& request, StandinResponder responder, Read read, Use use) {
  const nlohmann::json body = nlohmann::json::parse(request.http.body, nullptr, false);
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(value, read(body));
        use(value);
        responder.replyJson(200, "{}");
        return {};
      },
      [&](const Findings& findings) { replyFindings(responder, findings); }, [&] { responder.replyJson(500, "{}"); });
}

}  // namespace shedlever::standins
