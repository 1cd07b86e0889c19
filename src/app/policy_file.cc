#include "app/policy_file.h"

#include <spdlog/spdlog.h>

#include <boost/outcome/try.hpp>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

#include "drain/policy_replicator.h"

namespace deckhall {

Result<DisruptionPolicy, PolicyError> LoadPolicyFile(const std::string& path,
                                                     const Settings& settings) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (in) text << in.rdbuf();
  if (!in || in.bad()) return PolicyError{PolicyErrorKind::kUnreadableFile};
  BOOST_OUTCOME_TRY(policy, ReadPolicy(text.str()));
  BOOST_OUTCOME_TRYV(CheckPolicy(policy, settings));
  const size_t bytes = EncodePolicy(policy).size();
  const size_t max_bytes = MaxPolicyBytes(settings);
  if (bytes > max_bytes) {
    return PolicyError{.kind = PolicyErrorKind::kTooLarge, .bytes = bytes, .max_bytes = max_bytes};
  }
  return std::move(policy);
}

std::shared_ptr<const DisruptionPolicy> PolicyFile::ReadIfChanged() {
  if (path_.empty()) return nullptr;
  std::error_code error;
  FileVersion version;
  version.time = std::filesystem::last_write_time(path_, error);
  if (!error) version.size = std::filesystem::file_size(path_, error);
  if (error) {
    if (last_version_) spdlog::error("{}: {}; keeping the policy in force", path_, error.message());
    last_version_.reset();
    return nullptr;
  }
  if (last_version_ == version) return nullptr;
  last_version_ = version;
  auto policy = LoadPolicyFile(path_, *settings_);
  if (!policy.has_value()) {
    spdlog::error("{}: {}; keeping the policy in force", path_, DescribeError(policy.error()));
    return nullptr;
  }
  return std::make_shared<const DisruptionPolicy>(std::move(policy.value()));
}

}  // namespace deckhall
