// The file with the disruption policy of one controller, read at start-up and after each change.
#pragma once

#include <filesystem>
#include <memory>
#include <optional>
#include <string>

#include "drain/policy.h"

namespace deckhall {

// Reads and checks the file, also that the encoded policy fits into one value of the state service.
Result<DisruptionPolicy, PolicyError> LoadPolicyFile(const std::string& path,
                                                     const Settings& settings);

class PolicyFile {
 public:
  // With an empty `path` there is no policy file, and nothing is ever read.
  PolicyFile(std::string path, const Settings* settings)
      : path_(std::move(path)), settings_(settings) {}

  // The policy, if the file has changed since the last call and is valid; null otherwise. An
  // invalid file is logged once, and the policy read before stays in force.
  std::shared_ptr<const DisruptionPolicy> ReadIfChanged();

 private:
  struct FileVersion {
    std::filesystem::file_time_type time;
    uintmax_t size = 0;
    bool operator==(const FileVersion&) const = default;
  };

  std::string path_;
  const Settings* settings_;
  std::optional<FileVersion> last_version_;
};

}  // namespace deckhall
