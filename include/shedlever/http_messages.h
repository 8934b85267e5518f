#pragma once

/// @file
/// HTTP messages as the router forwards them.

#include <string>
#include <vector>

namespace shedlever {

struct HttpHeader {
  std::string name;
  std::string value;
  auto operator<=>(const HttpHeader&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, value);
  }
};

/// A client's request as forwarded to a server.
struct HttpRequest {
  std::string method;
  /// Path and query.
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(method, target, headers, body);
  }
};

/// A server's response.
struct HttpResponse {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(status, headers, body);
  }
};

}  // namespace shedlever
