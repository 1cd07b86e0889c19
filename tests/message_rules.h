// What PROTOCOL says on the size of messages, for the stand-ins of the tests, independently of the
// code under test.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>

namespace deckhall {

// A longer body of a request is refused, and a response with a longer line is not read.
constexpr size_t kProtocolMessageBytes = 65536;
// A row of a worker's report in its longest form, with spaces between its fields, without the name
// of the task.
constexpr size_t kProtocolReportRowBytes = 107;
// The rest of a worker's report.
constexpr size_t kProtocolReportHeadBytes = 1024;

inline bool ProtocolAllows(const std::string& body_or_line) {
  return body_or_line.size() <= kProtocolMessageBytes;
}

// The longest of the lines that the text consists of.
inline std::string LongestLine(const std::string& text) {
  std::string longest;
  for (size_t begin = 0; begin <= text.size();) {
    const size_t end = std::min(text.find('\n', begin), text.size());
    if (end - begin > longest.size()) longest = text.substr(begin, end - begin);
    begin = end + 1;
  }
  return longest;
}

}  // namespace deckhall
