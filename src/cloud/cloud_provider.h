// Interface to the cloud: machine types, scale-out, scale-in and the list of instances.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "wire/types.h"

namespace deckhall {

struct ScaleOutResponse {
  bool ok = false;
  bool out_of_capacity = false;  // refused: the pool has no capacity
  bool malformed = false;        // refused: the cloud rejects the request as malformed
  std::vector<std::string> machines;
};

class CloudProvider {
 public:
  virtual ~CloudProvider() = default;
  virtual void ListTypes(std::function<void(bool ok, std::vector<MachineType>)> done) = 0;
  virtual void ScaleOut(const std::string& request_id, const std::string& type,
                        const std::string& zone, bool spot, int count,
                        std::function<void(ScaleOutResponse)> done) = 0;
  virtual void ScaleIn(const std::vector<std::string>& machines,
                       std::function<void(bool ok)> done) = 0;
  virtual void ListInstances(
      const std::string& after,
      std::function<void(bool ok, std::vector<CloudInstance>, bool truncated)> done) = 0;
};

}  // namespace deckhall
