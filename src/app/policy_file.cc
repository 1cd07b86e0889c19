#include "app/policy_file.h"

#include <spdlog/spdlog.h>

#include <fstream>
#include <sstream>
#include <system_error>

#include "drain/policy_replicator.h"

namespace deckhall {

std::string LoadPolicyFile(const std::string& path, const Settings& settings,
                           DisruptionPolicy* out) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (in) text << in.rdbuf();
  if (!in || in.bad()) return "can't be read";
  std::string bad = ReadPolicy(text.str(), out);
  if (bad.empty()) bad = CheckPolicy(*out, settings);
  const size_t bytes = EncodePolicy(*out).size();
  if (bad.empty() && bytes > MaxPolicyBytes(settings)) {
    bad = "takes " + std::to_string(bytes) + " bytes, but a value of the state service holds " +
          std::to_string(MaxPolicyBytes(settings));
  }
  return bad;
}

std::shared_ptr<const DisruptionPolicy> PolicyFile::ReadIfChanged() {
  if (path_.empty()) return nullptr;
  std::error_code error;
  Version now;
  now.time = std::filesystem::last_write_time(path_, error);
  if (!error) now.size = std::filesystem::file_size(path_, error);
  if (error) {
    if (seen_) spdlog::error("{}: {}; the policy in force stays", path_, error.message());
    seen_.reset();
    return nullptr;
  }
  if (seen_ == now) return nullptr;
  seen_ = now;
  auto policy = std::make_shared<DisruptionPolicy>();
  const std::string bad = LoadPolicyFile(path_, *settings_, policy.get());
  if (bad.empty()) return policy;
  spdlog::error("{}: {}; the policy in force stays", path_, bad);
  return nullptr;
}

}  // namespace deckhall
