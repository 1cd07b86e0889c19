// Time as the core sees it; tests turn the hands themselves.
#pragma once

namespace deckhall {

class Clock {
 public:
  virtual ~Clock() = default;
  virtual double Now() const = 0;   // steady, seconds
  virtual double Wall() const = 0;  // time of day, seconds since the epoch
};

}  // namespace deckhall
