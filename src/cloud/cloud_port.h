// What the core asks of the cloud.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "wire/types.h"

namespace deckhall {

struct RentAnswer {
  bool ok = false;
  bool refused = false;  // no capacity
  bool malformed = false;
  std::vector<std::string> machines;
};

class CloudPort {
 public:
  virtual ~CloudPort() = default;
  virtual void Types(std::function<void(bool ok, std::vector<MachineType>)> done) = 0;
  virtual void Rent(const std::string& request, const std::string& type, const std::string& zone,
                    bool spot, int count, std::function<void(RentAnswer)> done) = 0;
  virtual void Return(const std::vector<std::string>& machines,
                      std::function<void(bool ok)> done) = 0;
  virtual void List(
      const std::string& after,
      std::function<void(bool ok, std::vector<CloudInstance>, bool truncated)> done) = 0;
};

}  // namespace deckhall
