#include "source/net/http_response_parser.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <utility>

#include "source/core/http_syntax.h"
#include "source/net/http_headers.h"

namespace shedlever {

namespace {

constexpr std::string_view kFirstVersion = "HTTP/1.0";
constexpr int kFirstFinalStatus = 200;
constexpr int kStatusSwitchingProtocols = 101;
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;
constexpr int kHexadecimal = 16;
constexpr int kDecimal = 10;
constexpr std::string_view kKeepAliveTimeoutPrefix = "timeout=";
constexpr std::size_t kMaxKeepAliveSeconds = 86400;
/// The part of the server's idle timeout in which a connection is reused, to avoid a race with the server's close.
constexpr int kKeepAliveNumerator = 3;
constexpr int kKeepAliveDenominator = 4;

std::string_view trimmed(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

std::optional<std::size_t> parseSize(std::string_view text, int base) {
  std::size_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

struct HeaderLine {
  std::string_view name;
  /// Without the blanks around it.
  std::string_view value;
};

/// @return std::nullopt if the line breaks the syntax of a header, also if it is folded.
std::optional<HeaderLine> parseHeaderLine(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const HeaderLine header{line.substr(0, colon), trimmed(line.substr(colon + 1))};
  if (!isHttpToken(header.name) || !isHttpText(header.value)) {
    return std::nullopt;
  }
  return header;
}

}  // namespace

HttpResponseParser::HttpResponseParser(std::size_t header_limit, std::size_t body_limit, bool to_head,
                                       bool allow_close_delimited)
    : header_limit_(header_limit),
      body_limit_(body_limit),
      to_head_(to_head),
      allow_close_delimited_(allow_close_delimited) {}

HttpResponseParseStatus HttpResponseParser::consume(evbuffer* input) {
  started_ = started_ || evbuffer_get_length(input) > 0;
  while (state_ != State::Done) {
    const std::size_t before = evbuffer_get_length(input);
    const State state_before = state_;
    const HttpResponseParseStatus status = step(input);
    if (status == HttpResponseParseStatus::Invalid) {
      return status;
    }
    if (evbuffer_get_length(input) == before && state_ == state_before) {
      return HttpResponseParseStatus::Incomplete;
    }
  }
  return HttpResponseParseStatus::Complete;
}

HttpResponseParseStatus HttpResponseParser::step(evbuffer* input) {
  if (state_ == State::UntilClose) {
    return takeUntilClose(input) ? HttpResponseParseStatus::Incomplete : HttpResponseParseStatus::Invalid;
  }
  if (state_ == State::Body || state_ == State::ChunkData) {
    takeBody(input);
    return HttpResponseParseStatus::Incomplete;
  }
  const Line line = readLine(input);
  if (line.over_limit) {
    return HttpResponseParseStatus::Invalid;
  }
  return line.text ? lineStep(*line.text) : HttpResponseParseStatus::Incomplete;
}

HttpResponseParser::Line HttpResponseParser::readLine(evbuffer* input) {
  std::size_t length = 0;
  char* text = evbuffer_readln(input, &length, EVBUFFER_EOL_CRLF);
  Line line;
  if (text == nullptr) {
    line.over_limit = header_bytes_ + evbuffer_get_length(input) > header_limit_;
    return line;
  }
  line.text = std::string(text, length);
  std::free(text);
  header_bytes_ += length;
  line.over_limit = header_bytes_ > header_limit_;
  return line;
}

HttpResponseParseStatus HttpResponseParser::lineStep(std::string_view line) {
  bool valid = true;
  switch (state_) {
    case State::StatusLine:
      valid = takeStatusLine(line);
      break;
    case State::Headers:
      valid = line.empty() ? headersEnded() : takeHeader(line);
      break;
    case State::ChunkSize:
      valid = takeChunkSize(line);
      break;
    case State::ChunkEnd:
      valid = line.empty();
      state_ = State::ChunkSize;
      break;
    case State::Trailers:
      valid = takeTrailer(line);
      break;
    case State::Body:
    case State::ChunkData:
    case State::UntilClose:
    case State::Done:
      break;
  }
  return valid ? HttpResponseParseStatus::Incomplete : HttpResponseParseStatus::Invalid;
}

bool HttpResponseParser::takeStatusLine(std::string_view line) {
  const std::optional<int> status = parseHttpStatusLine(line);
  if (!status || *status == kStatusSwitchingProtocols) {
    return false;
  }
  // An HTTP/1.0 connection is never reused, even if the server would keep it open.
  keeps_connection_ = !line.starts_with(kFirstVersion);
  response_.status = *status;
  state_ = State::Headers;
  return true;
}

bool HttpResponseParser::takeHeader(std::string_view line) {
  const std::optional<HeaderLine> header = parseHeaderLine(line);
  if (!header) {
    return false;
  }
  if (isFramingHeader(header->name)) {
    return takeFramingHeader(header->name, header->value);
  }
  response_.headers.push_back({std::string(header->name), std::string(header->value)});
  return true;
}

bool HttpResponseParser::takeTrailer(std::string_view line) {
  if (line.empty()) {
    state_ = State::Done;
    return true;
  }
  // Trailers are not passed on.
  return parseHeaderLine(line).has_value();
}

bool HttpResponseParser::takeFramingHeader(std::string_view name, std::string_view value) {
  if (sameHeaderName(name, "content-length")) {
    const std::optional<std::size_t> length = parseSize(value, kDecimal);
    const bool differs = content_length_ && length != content_length_;
    content_length_ = length;
    return length.has_value() && !differs;
  }
  if (sameHeaderName(name, "transfer-encoding")) {
    const bool repeated = std::exchange(chunked_, true);
    return !repeated && sameHeaderName(value, "chunked");
  }
  if (sameHeaderName(name, "connection") && sameHeaderName(value, "close")) {
    keeps_connection_ = false;
  }
  if (sameHeaderName(name, "keep-alive") && value.starts_with(kKeepAliveTimeoutPrefix)) {
    takeKeepAlive(value.substr(kKeepAliveTimeoutPrefix.size()));
  }
  return true;
}

bool HttpResponseParser::headersEnded() {
  if (response_.status < kFirstFinalStatus) {
    // An interim response; the final response follows.
    response_ = {};
    content_length_.reset();
    state_ = State::StatusLine;
    return !chunked_;
  }
  const bool without_body = to_head_ || response_.status == kStatusNoContent || response_.status == kStatusNotModified;
  if (without_body) {
    state_ = State::Done;
    return true;
  }
  if (chunked_) {
    state_ = State::ChunkSize;
    return !content_length_;
  }
  if (!content_length_ && allow_close_delimited_) {
    keeps_connection_ = false;
    state_ = State::UntilClose;
    return true;
  }
  if (!content_length_ || *content_length_ > body_limit_) {
    return false;
  }
  missing_bytes_ = *content_length_;
  response_.body.reserve(missing_bytes_);
  state_ = missing_bytes_ == 0 ? State::Done : State::Body;
  return true;
}

bool HttpResponseParser::takeChunkSize(std::string_view line) {
  const std::optional<std::size_t> size = parseSize(trimmed(line.substr(0, line.find(';'))), kHexadecimal);
  if (!size || *size > body_limit_ - response_.body.size() || !isHttpText(line)) {
    return false;
  }
  // The limit applies to the headers, not to the total size of the lines between chunks.
  header_bytes_ = 0;
  missing_bytes_ = *size;
  state_ = missing_bytes_ == 0 ? State::Trailers : State::ChunkData;
  return true;
}

void HttpResponseParser::takeKeepAlive(std::string_view text) {
  const std::optional<std::size_t> seconds = parseSize(trimmed(text.substr(0, text.find(','))), kDecimal);
  if (seconds && *seconds < kMaxKeepAliveSeconds) {
    keep_alive_ = std::chrono::seconds(*seconds) * kKeepAliveNumerator / kKeepAliveDenominator;
  }
}

bool HttpResponseParser::takeUntilClose(evbuffer* input) {
  const std::size_t size = evbuffer_get_length(input);
  const std::size_t old_size = response_.body.size();
  if (size > body_limit_ - std::min(old_size, body_limit_)) {
    return false;
  }
  response_.body.resize(old_size + size);
  evbuffer_remove(input, response_.body.data() + old_size, size);
  return true;
}

void HttpResponseParser::takeBody(evbuffer* input) {
  const std::size_t size = std::min(missing_bytes_, evbuffer_get_length(input));
  const std::size_t old_size = response_.body.size();
  response_.body.resize(old_size + size);
  evbuffer_remove(input, response_.body.data() + old_size, size);
  missing_bytes_ -= size;
  if (missing_bytes_ == 0) {
    state_ = state_ == State::Body ? State::Done : State::ChunkEnd;
  }
}

}  // namespace shedlever
