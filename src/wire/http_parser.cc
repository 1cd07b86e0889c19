#include "wire/http_parser.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace deckhall {
namespace {

std::string Lower(std::string_view s) {
  std::string out(s);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}

std::string_view Trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

bool IsToken(std::string_view s) {
  static constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
  return !s.empty() && std::all_of(s.begin(), s.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 ||
           kTokenSymbols.find(static_cast<char>(c)) != std::string_view::npos;
  });
}

bool ParseDecimal(std::string_view s, size_t* out) {
  if (s.empty() || s.size() > 15) return false;
  size_t v = 0;
  for (char c : s) {
    if (c < '0' || c > '9') return false;
    v = v * 10 + static_cast<size_t>(c - '0');
  }
  *out = v;
  return true;
}

bool ParseHex(std::string_view s, size_t* out) {
  if (s.empty() || s.size() > 8) return false;
  size_t v = 0;
  for (unsigned char c : s) {
    if (std::isxdigit(c) == 0) return false;
    const int digit = c <= '9' ? c - '0' : (c | 32) - 'a' + 10;
    v = v * 16 + static_cast<size_t>(digit);
  }
  *out = v;
  return true;
}

constexpr size_t kMaxChunkLineBytes = 256;

}  // namespace

HttpParser::Result HttpParser::Fail(int status) {
  error_status_ = status;
  buffer_.clear();
  cursor_ = scan_offset_ = 0;
  return Result::kError;
}

HttpParser::Result HttpParser::Feed(std::string_view bytes) {
  if (cursor_ > 0) {
    buffer_.erase(0, cursor_);
    scan_offset_ -= std::min(scan_offset_, cursor_);
    cursor_ = 0;
  }
  buffer_.append(bytes);
  return Resume();
}

bool HttpParser::NextLine(std::string_view* line) {
  const size_t at = buffer_.find('\n', cursor_);
  if (at == std::string::npos) return false;
  size_t end = at;
  if (end > cursor_ && buffer_[end - 1] == '\r') --end;
  *line = std::string_view(buffer_).substr(cursor_, end - cursor_);
  cursor_ = at + 1;
  return true;
}

HttpParser::Result HttpParser::Resume() {
  for (;;) {
    switch (stage_) {
      case Stage::kHead: {
        // Skips empty lines before a message, as RFC 9112 recommends.
        while (cursor_ < buffer_.size() && (buffer_[cursor_] == '\r' || buffer_[cursor_] == '\n') &&
               scan_offset_ <= cursor_) {
          ++cursor_;
          scan_offset_ = cursor_;
        }
        const size_t from = std::max(cursor_, scan_offset_ > 3 ? scan_offset_ - 3 : 0);
        const size_t end = buffer_.find("\r\n\r\n", from);
        if (end == std::string::npos) {
          scan_offset_ = buffer_.size();
          if (buffer_.size() - cursor_ > max_head_bytes_) return Fail(431);
          return Result::kMore;
        }
        if (end - cursor_ > max_head_bytes_) return Fail(431);
        const std::string_view head = std::string_view(buffer_).substr(cursor_, end - cursor_);
        const Result r = ParseHead(head);
        if (r == Result::kError) return r;
        cursor_ = end + 4;
        if (chunked_) {
          stage_ = Stage::kChunkSize;
        } else if (remaining_bytes_ > 0) {
          stage_ = Stage::kBody;
        } else {
          stage_ = Stage::kDone;
        }
        break;
      }
      case Stage::kBody:
      case Stage::kChunkData: {
        const size_t n = std::min(remaining_bytes_, buffer_.size() - cursor_);
        message_.body.append(buffer_, cursor_, n);
        cursor_ += n;
        remaining_bytes_ -= n;
        if (remaining_bytes_ > 0) return Result::kMore;
        stage_ = stage_ == Stage::kBody ? Stage::kDone : Stage::kChunkEnd;
        break;
      }
      case Stage::kChunkSize: {
        std::string_view line;
        if (!NextLine(&line)) {
          return buffer_.size() - cursor_ > kMaxChunkLineBytes ? Fail(400) : Result::kMore;
        }
        if (line.size() > kMaxChunkLineBytes) return Fail(400);
        const std::string_view size = Trim(line.substr(0, line.find(';')));
        if (!ParseHex(size, &remaining_bytes_)) return Fail(400);
        if (remaining_bytes_ > max_body_bytes_ - message_.body.size()) return Fail(413);
        stage_ = remaining_bytes_ == 0 ? Stage::kTrailer : Stage::kChunkData;
        break;
      }
      case Stage::kChunkEnd: {
        if (buffer_.size() - cursor_ < 2) return Result::kMore;
        if (buffer_.compare(cursor_, 2, "\r\n") != 0) return Fail(400);
        cursor_ += 2;
        stage_ = Stage::kChunkSize;
        break;
      }
      case Stage::kTrailer: {
        std::string_view line;
        if (!NextLine(&line)) {
          return buffer_.size() - cursor_ > max_head_bytes_ ? Fail(431) : Result::kMore;
        }
        trailer_bytes_ += line.size();
        if (trailer_bytes_ > max_head_bytes_) return Fail(431);
        if (line.empty()) stage_ = Stage::kDone;
        break;
      }
      case Stage::kDone:
        return Result::kDone;
    }
  }
}

HttpParser::Result HttpParser::ParseHead(std::string_view head) {
  message_ = HttpMessage();
  has_length_ = chunked_ = expect_continue_ = false;
  remaining_bytes_ = trailer_bytes_ = 0;
  bool first = true;
  while (!head.empty() || first) {
    const size_t at = head.find("\r\n");
    const std::string_view line = head.substr(0, at);
    head = at == std::string_view::npos ? std::string_view() : head.substr(at + 2);
    if (first) {
      if (!ParseStartLine(line)) return Fail(error_status_);
      first = false;
    } else if (!ParseField(line)) {
      return Fail(400);
    }
  }
  // With both a chunked encoding and a Content-Length, an intermediary may determine a different
  // end of the message (request smuggling).
  if (chunked_ && has_length_) return Fail(400);
  if (remaining_bytes_ > max_body_bytes_) return Fail(413);
  const bool no_body = message_.status == 204 || message_.status == 304;
  if (kind_ == Kind::kResponse && !no_body && !chunked_ && !has_length_) return Fail(400);
  if (no_body) {
    chunked_ = false;
    remaining_bytes_ = 0;
  }
  return Result::kMore;
}

bool HttpParser::ParseStartLine(std::string_view line) {
  error_status_ = 400;
  std::string_view version;
  if (kind_ == Kind::kRequest) {
    const size_t a = line.find(' ');
    const size_t b = line.rfind(' ');
    if (a == std::string_view::npos || a == b) return false;
    const std::string_view method = line.substr(0, a);
    const std::string_view target = line.substr(a + 1, b - a - 1);
    version = line.substr(b + 1);
    if (!IsToken(method) || target.empty() || target[0] != '/') return false;
    for (unsigned char c : target) {
      if (c <= 32 || c == 127) return false;
    }
    message_.method = method;
    message_.target = target;
  } else {
    if (line.size() < 12 || line[8] != ' ') return false;
    version = line.substr(0, 8);
    size_t status = 0;
    if (!ParseDecimal(line.substr(9, 3), &status) || status < 100) return false;
    if (line.size() > 12 && line[12] != ' ') return false;
    message_.status = static_cast<int>(status);
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    if (version.substr(0, 5) == "HTTP/") error_status_ = 505;
    return false;
  }
  minor_version_ = version.back() - '0';
  message_.keep_alive = minor_version_ == 1;
  return true;
}

bool HttpParser::ParseField(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) return false;
  const std::string name = Lower(line.substr(0, colon));
  const std::string_view value = Trim(line.substr(colon + 1));
  for (unsigned char c : value) {
    if ((c < 32 && c != '\t') || c == 127) return false;
  }
  if (name == "content-length") {
    size_t n = 0;
    if (!ParseDecimal(value, &n)) return false;
    if (has_length_ && n != remaining_bytes_) return false;
    has_length_ = true;
    remaining_bytes_ = n;
  } else if (name == "transfer-encoding") {
    if (chunked_ || Lower(value) != "chunked" || minor_version_ == 0) return false;
    chunked_ = true;
  } else if (name == "connection") {
    const std::string v = Lower(value);
    if (v.find("close") != std::string::npos) message_.keep_alive = false;
    if (v.find("keep-alive") != std::string::npos) message_.keep_alive = true;
  } else if (name == "expect") {
    expect_continue_ = Lower(value) == "100-continue";
  } else if (name == "retry-after") {
    size_t n = 0;
    if (ParseDecimal(value, &n)) message_.retry_after_s = static_cast<int>(std::min<size_t>(n, 60));
  }
  return true;
}

HttpMessage HttpParser::Take() {
  stage_ = Stage::kHead;
  scan_offset_ = cursor_;
  expect_continue_ = false;
  return std::exchange(message_, HttpMessage());
}

}  // namespace deckhall
