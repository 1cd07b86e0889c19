// The disruption file of one controller: read at the start, and again when it changes.
#pragma once

#include <filesystem>
#include <memory>
#include <optional>
#include <string>

#include "drain/policy.h"

namespace deckhall {

// Reads and checks the file, also whether the policy fits a value of the state service.
Result<DisruptionPolicy, PolicyError> LoadPolicyFile(const std::string& path,
                                                     const Settings& settings);

class PolicyFile {
 public:
  // Without a path there is none, and nothing is ever read.
  PolicyFile(std::string path, const Settings* settings)
      : path_(std::move(path)), settings_(settings) {}

  // The policy if the file was changed since the last call and is good; null otherwise. A bad
  // file is logged once, and what was read before stays in force.
  std::shared_ptr<const DisruptionPolicy> ReadIfChanged();

 private:
  struct Version {
    std::filesystem::file_time_type time;
    uintmax_t size = 0;
    bool operator==(const Version&) const = default;
  };

  std::string path_;
  const Settings* settings_;
  std::optional<Version> seen_;
};

}  // namespace deckhall
