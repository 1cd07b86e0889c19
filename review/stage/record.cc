#include "record.h"

#include <cstdio>

#include "net/loop.h"

namespace stage {

Record::Record(const std::string& path)
    : file_(path, std::ios::trunc), started_at_(deckhall::SteadySeconds()) {}

double Record::Now() const { return deckhall::SteadySeconds() - started_at_; }

void Record::Write(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ", Now());
  file_ << time << line << '\n' << std::flush;
}

}  // namespace stage
