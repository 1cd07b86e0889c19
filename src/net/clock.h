// Interface of the clock. Tests replace it by one that they advance themselves.
#pragma once

namespace deckhall {

class Clock {
 public:
  virtual ~Clock() = default;
  virtual double Now() const = 0;   // monotonic, seconds
  virtual double Wall() const = 0;  // wall clock, seconds since the Unix epoch
};

}  // namespace deckhall
