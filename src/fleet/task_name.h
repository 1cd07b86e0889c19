// The name of a task on the wire: "<job id>/<task index>", as in "job-000412/3".
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace deckhall {

struct TaskName {
  std::string job_id;
  uint32_t task_index = 0;
};

// The parts of `name`; nullopt if it does not end in a slash and a decimal index.
std::optional<TaskName> ParseTaskName(const std::string& name);

std::string FormatTaskName(const std::string& job_id, uint32_t task_index);

// Length of the longest name of the job's tasks.
size_t MaxTaskNameBytes(const std::string& job_id, uint32_t task_count);

}  // namespace deckhall
