#include "app/controller_files.h"

#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

#include "app/policy_file.h"

namespace deckhall {
namespace {

constexpr const char* kUnreadable = "can't be read";

std::optional<std::string> ReadText(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  std::ostringstream text;
  text << in.rdbuf();
  if (in.bad()) return std::nullopt;
  return text.str();
}

}  // namespace

std::string DescribeError(const FileError& error) { return error.path + ": " + error.reason; }

Result<Configuration, FileError> ReadConfiguration(const FilePaths& paths) {
  Configuration configuration;
  const std::optional<std::string> settings_text = ReadText(paths.settings);
  if (!settings_text) return FileError{paths.settings, kUnreadable};
  auto settings = ReadSettings(*settings_text);
  if (!settings.has_value()) return FileError{paths.settings, DescribeError(settings.error())};
  configuration.settings = std::move(settings.value());
  if (!paths.tuning.empty()) {
    const std::optional<std::string> tuning_text = ReadText(paths.tuning);
    if (!tuning_text) return FileError{paths.tuning, kUnreadable};
    const auto tuning = ReadTuning(*tuning_text);
    if (!tuning.has_value()) return FileError{paths.tuning, DescribeError(tuning.error())};
    configuration.tuning = tuning.value();
  }
  if (!paths.policy.empty()) {
    const auto policy = LoadPolicyFile(paths.policy, configuration.settings);
    if (!policy.has_value()) return FileError{paths.policy, DescribeError(policy.error())};
  }
  return configuration;
}

}  // namespace deckhall
