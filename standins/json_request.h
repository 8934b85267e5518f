#pragma once

/// @file
/// Handling of JSON request bodies, and responses to invalid ones.

#include <nlohmann/json.hpp>

#include "shedlever/errors.h"
#include "standins/standin_http_server.h"

namespace shedlever::standins {

/// Responds with 400 and the findings.
inline void replyFindings(StandinResponder& responder, const Findings& findings) {
  responder.replyJson(400, nlohmann::json{{"message", toString(findings)}}.dump());
}

/// Parses the body, passes the value to `use` and responds with 200. Responds with 400 and the findings if parsing
/// fails with Findings, and with 500 on any other error.
/// @param parse from JSON to leaf::result.
template <class Parse, class Use>
void handleJsonBody(const StandinRequest& request, StandinResponder responder, Parse parse, Use use) {
  const nlohmann::json body = nlohmann::json::parse(request.http.body, nullptr, false);
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(value, parse(body));
        use(value);
        responder.replyJson(200, "{}");
        return {};
      },
      [&](const Findings& findings) { replyFindings(responder, findings); }, [&] { responder.replyJson(500, "{}"); });
}

}  // namespace shedlever::standins
