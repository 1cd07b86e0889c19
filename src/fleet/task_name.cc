#include "fleet/task_name.h"

#include <charconv>
#include <system_error>

namespace deckhall {

std::optional<TaskName> ParseTaskName(const std::string& name) {
  const size_t slash = name.rfind('/');
  if (slash == std::string::npos) return std::nullopt;
  TaskName parsed;
  parsed.job_id = name.substr(0, slash);
  const char* end = name.data() + name.size();
  const auto [rest, error] = std::from_chars(name.data() + slash + 1, end, parsed.task_index);
  if (error != std::errc() || rest != end) return std::nullopt;
  return parsed;
}

std::string FormatTaskName(const std::string& job_id, uint32_t task_index) {
  return job_id + "/" + std::to_string(task_index);
}

size_t MaxTaskNameBytes(const std::string& job_id, uint32_t task_count) {
  const uint32_t last_index = task_count == 0 ? 0 : task_count - 1;
  return FormatTaskName(job_id, last_index).size();
}

}  // namespace deckhall
