// The record of a case: what was sent, answered and run, with the time since the start.
#pragma once

#include <fstream>
#include <string>

namespace stage {

class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);
  // Seconds since the start.
  double Now() const;

 private:
  std::ofstream file_;
  double started_at_;
};

}  // namespace stage
