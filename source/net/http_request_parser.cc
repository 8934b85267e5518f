#include "source/net/http_request_parser.h"

#include <limits>
#include <utility>
#include <vector>

#include "source/net/http_headers.h"

namespace shedlever {

namespace {

constexpr std::string_view kHeadersEnd = "\r\n\r\n";

HttpRequestParser& self(http_parser* parser) { return *static_cast<HttpRequestParser*>(parser->data); }

/// @return whether every line ends with CR LF, no line is folded and there is no NUL.
bool linesAreValid(std::string_view block) {
  for (std::size_t at = block.find('\n'); at != std::string_view::npos; at = block.find('\n', at + 1)) {
    if (at == 0 || block[at - 1] != '\r') {
      return false;
    }
    if (at + 1 < block.size() && (block[at + 1] == ' ' || block[at + 1] == '\t')) {
      return false;
    }
  }
  return block.find('\0') == std::string_view::npos;
}

/// @return whether no colon is preceded by a blank.
bool colonsAreValid(std::string_view block) {
  return block.find(" :") == std::string_view::npos && block.find("\t:") == std::string_view::npos;
}

/// @return whether a comma-separated list contains the token, ignoring case.
bool containsToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    std::string_view entry = list.substr(0, comma);
    list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
    const std::size_t first = entry.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
      continue;
    }
    entry = entry.substr(first, entry.find_last_not_of(" \t") - first + 1);
    if (sameHeaderName(entry, token)) {
      return true;
    }
  }
  return false;
}

/// Removes the framing headers and the headers that are listed in a Connection header.
void eraseConnectionHeaders(std::vector<HttpHeader>& headers) {
  std::string connection_options;
  for (const HttpHeader& header : headers) {
    if (sameHeaderName(header.name, "connection")) {
      connection_options += "," + header.value;
    }
  }
  std::erase_if(headers, [&](const HttpHeader& header) {
    return isFramingHeader(header.name) || containsToken(connection_options, header.name);
  });
}

}  // namespace

HttpRequestParser::HttpRequestParser(std::size_t header_limit, std::size_t body_limit)
    : header_limit_(header_limit), body_limit_(body_limit) {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
}

const http_parser_settings& HttpRequestParser::settings() {
  static const http_parser_settings instance = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_url = onUrl;
    callbacks.on_header_field = onHeaderField;
    callbacks.on_header_value = onHeaderValue;
    callbacks.on_headers_complete = onHeadersComplete;
    callbacks.on_body = onBody;
    callbacks.on_message_complete = onMessageComplete;
    return callbacks;
  }();
  return instance;
}

int HttpRequestParser::onUrl(http_parser* parser, const char* text, std::size_t size) {
  self(parser).request_.target.append(text, size);
  return 0;
}

int HttpRequestParser::onHeaderField(http_parser* parser, const char* text, std::size_t size) {
  HttpRequestParser& me = self(parser);
  auto& headers = me.request_.headers;
  if (headers.empty() || me.last_was_value_) {
    headers.emplace_back();
    me.last_was_value_ = false;
  }
  headers.back().name.append(text, size);
  return 0;
}

int HttpRequestParser::onHeaderValue(http_parser* parser, const char* text, std::size_t size) {
  HttpRequestParser& me = self(parser);
  me.request_.headers.back().value.append(text, size);
  me.last_was_value_ = true;
  return 0;
}

int HttpRequestParser::onHeadersComplete(http_parser* parser) {
  HttpRequestParser& me = self(parser);
  me.headers_done_ = true;
  me.request_.method = http_method_str(static_cast<http_method>(parser->method));
  constexpr std::uint64_t kNoLength = std::numeric_limits<std::uint64_t>::max();
  if (parser->content_length != kNoLength && parser->content_length > me.body_limit_) {
    me.body_too_large_ = true;
    return -1;
  }
  return me.headersAreValid() ? 0 : -1;
}

int HttpRequestParser::onBody(http_parser* parser, const char* text, std::size_t size) {
  HttpRequestParser& me = self(parser);
  if (me.request_.body.size() + size > me.body_limit_) {
    me.body_too_large_ = true;
    return -1;
  }
  me.request_.body.append(text, size);
  return 0;
}

int HttpRequestParser::onMessageComplete(http_parser* parser) {
  HttpRequestParser& me = self(parser);
  me.done_ = true;
  me.keeps_connection_ = http_should_keep_alive(parser) != 0;
  // The following bytes belong to the next request.
  http_parser_pause(parser, 1);
  return 0;
}

bool HttpRequestParser::headersAreValid() {
  std::size_t hosts = 0;
  std::size_t codings = 0;
  bool codings_supported = true;
  for (const HttpHeader& header : request_.headers) {
    if (sameHeaderName(header.name, "host")) {
      ++hosts;
    } else if (sameHeaderName(header.name, "transfer-encoding")) {
      ++codings;
      codings_supported = codings_supported && sameHeaderName(header.value, "chunked");
    } else if (sameHeaderName(header.name, "expect")) {
      expects_continue_ = sameHeaderName(header.value, "100-continue");
    }
  }
  const bool host_valid = hosts == 1 || (hosts == 0 && parser_.http_major == 1 && parser_.http_minor == 0);
  const bool version_valid = parser_.http_major == 1 && parser_.http_minor <= 1;
  const bool target_valid = !request_.target.empty() && request_.target.front() == '/';
  if (!host_valid || !version_valid || !target_valid || codings > 1 || !codings_supported || parser_.upgrade != 0) {
    return false;
  }
  eraseConnectionHeaders(request_.headers);
  return true;
}

HttpRequestParseStatus HttpRequestParser::consume(evbuffer* input) {
  if (!headers_done_) {
    const HttpRequestParseStatus status = takeHeaders(input);
    if (status != HttpRequestParseStatus::InBody) {
      return status;
    }
  }
  return takeBody(input);
}

HttpRequestParseStatus HttpRequestParser::takeHeaders(evbuffer* input) {
  const std::size_t available = evbuffer_get_length(input);
  if (available == 0) {
    return HttpRequestParseStatus::Empty;
  }
  const evbuffer_ptr end = evbuffer_search(input, kHeadersEnd.data(), kHeadersEnd.size(), nullptr);
  const std::size_t size = end.pos < 0 ? available : static_cast<std::size_t>(end.pos) + kHeadersEnd.size();
  if (size > header_limit_) {
    return HttpRequestParseStatus::HeadersTooLarge;
  }
  if (end.pos < 0) {
    // A bare line feed is rejected before the headers are complete, because another parser may already see their end.
    const auto* partial = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
    return linesAreValid({partial, size}) ? HttpRequestParseStatus::InHeaders : HttpRequestParseStatus::Invalid;
  }
  const auto* text = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
  const std::string_view block(text, size);
  if (!linesAreValid(block) || !colonsAreValid(block)) {
    return HttpRequestParseStatus::Invalid;
  }
  const std::size_t consumed = http_parser_execute(&parser_, &settings(), text, size);
  if (body_too_large_) {
    return HttpRequestParseStatus::BodyTooLarge;
  }
  const bool stopped_at_end = done_ && HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED;
  if (!headers_done_ || (!stopped_at_end && (consumed != size || HTTP_PARSER_ERRNO(&parser_) != HPE_OK))) {
    return HttpRequestParseStatus::Invalid;
  }
  evbuffer_drain(input, size);
  return done_ ? HttpRequestParseStatus::Complete : HttpRequestParseStatus::InBody;
}

HttpRequestParseStatus HttpRequestParser::takeBody(evbuffer* input) {
  while (!done_ && evbuffer_get_length(input) > 0) {
    const std::size_t size = evbuffer_get_contiguous_space(input);
    const auto* text = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
    const std::size_t consumed = http_parser_execute(&parser_, &settings(), text, size);
    if (body_too_large_) {
      return HttpRequestParseStatus::BodyTooLarge;
    }
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (error != HPE_OK && !(done_ && error == HPE_PAUSED)) {
      return HttpRequestParseStatus::Invalid;
    }
    evbuffer_drain(input, consumed);
  }
  return done_ ? HttpRequestParseStatus::Complete : HttpRequestParseStatus::InBody;
}

}  // namespace shedlever
