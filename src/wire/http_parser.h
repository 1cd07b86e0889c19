// Incremental HTTP/1.1 parser for requests and responses. Accepts HTTP/1.0, too. Messages beyond
// the size limits are errors.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace deckhall {

struct HttpMessage {
  std::string method;  // of requests
  std::string target;  // of requests
  int status = 0;      // of responses
  bool keep_alive = true;
  int retry_after_s = 0;
  std::string body;
};

class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  enum class Result { kMore, kDone, kError };

  HttpParser(Kind kind, size_t max_head_bytes, size_t max_body_bytes)
      : kind_(kind), max_head_bytes_(max_head_bytes), max_body_bytes_(max_body_bytes) {}

  // Parses further bytes. Bytes after a complete message are kept for the next one.
  Result Feed(std::string_view bytes);
  // Continues with the buffered bytes, after Take().
  Result Resume();
  // Returns the complete message and prepares the parser for the next one.
  HttpMessage Take();

  // Status of the response to a malformed request.
  int error_status() const { return error_status_; }
  // True if part of the next message has been received.
  bool InMessage() const { return stage_ != Stage::kHead || cursor_ < buffer_.size(); }
  bool Expects100() const { return expect_continue_; }
  void ClearExpect() { expect_continue_ = false; }

 private:
  enum class Stage { kHead, kBody, kChunkSize, kChunkData, kChunkEnd, kTrailer, kDone };

  Result Fail(int status);
  Result ParseHead(std::string_view head);
  bool ParseStartLine(std::string_view line);
  bool ParseField(std::string_view line);
  // Reads the line at the cursor and moves behind it. Returns false if more bytes are needed.
  bool NextLine(std::string_view* line);

  Kind kind_;
  size_t max_head_bytes_;
  size_t max_body_bytes_;
  Stage stage_ = Stage::kHead;
  std::string buffer_;
  size_t cursor_ = 0;           // start of the unparsed bytes
  size_t scan_offset_ = 0;      // where the search for the end of the head continues
  size_t remaining_bytes_ = 0;  // of the body or the chunk, not received yet
  size_t trailer_bytes_ = 0;
  bool has_length_ = false;
  bool chunked_ = false;
  bool expect_continue_ = false;
  int minor_version_ = 1;
  int error_status_ = 400;
  HttpMessage message_;
};

}  // namespace deckhall
