// The project's own HTTP/1.1 parser, for requests and responses. Fed with bytes
// as they come; holds at most the limits' worth of them.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace deckhall {

struct HttpMessage {
  std::string method;  // requests
  std::string target;  // requests
  int status = 0;      // responses
  bool keep_alive = true;
  int retry_after_s = 0;
  std::string body;
};

class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  enum class Result { kMore, kDone, kError };

  HttpParser(Kind kind, size_t max_head, size_t max_body)
      : kind_(kind), max_head_(max_head), max_body_(max_body) {}

  // Takes bytes; what follows a complete message is kept for the next one.
  Result Feed(std::string_view bytes);
  // Goes on with bytes already held, after Take().
  Result Resume();
  // The complete message; the parser is ready for the next one.
  HttpMessage Take();

  // Status to answer a broken request with.
  int error_status() const { return error_status_; }
  // True while a message has begun and is not complete.
  bool InMessage() const { return stage_ != Stage::kHead || cursor_ < buffer_.size(); }
  bool Expects100() const { return expect_continue_; }
  void ClearExpect() { expect_continue_ = false; }

 private:
  enum class Stage { kHead, kBody, kChunkSize, kChunkData, kChunkEnd, kTrailer, kDone };

  Result Fail(int status);
  Result ParseHead(std::string_view head);
  bool ParseStartLine(std::string_view line);
  bool ParseField(std::string_view line);
  // Finds a line end at or after the cursor; false when more bytes are needed.
  bool NextLine(std::string_view* line);

  Kind kind_;
  size_t max_head_;
  size_t max_body_;
  Stage stage_ = Stage::kHead;
  std::string buffer_;
  size_t cursor_ = 0;  // start of what is not consumed yet
  size_t scan_ = 0;    // where the search for the end of the head goes on
  size_t need_ = 0;    // bytes of body or chunk still to come
  size_t trailer_ = 0;
  bool has_length_ = false;
  bool chunked_ = false;
  bool expect_continue_ = false;
  int minor_ = 1;
  int error_status_ = 400;
  HttpMessage message_;
};

}  // namespace deckhall
