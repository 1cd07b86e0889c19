// Jobs and answers about them, as users send and read them.
#pragma once

#include <string>
#include <string_view>

#include "wire/json.h"
#include "wire/types.h"

namespace deckhall {

// True for ids of the form users choose: "job-" and digits.
bool ValidJobId(std::string_view id);

// Reads a submission. `id` is set as soon as the body has a usable one, so that
// a known job can be answered before it is validated. Returns the reason why
// the body is no valid job, or an empty string.
std::string ParseJob(std::string_view body, std::string* id, JobSpec* job);
// The same from a parsed object.
std::string ReadJob(const JsonValue& object, JobSpec* job);
void WriteJob(JsonWriter& writer, const JobSpec& job);

const char* JobStateWord(JobState state);
std::string EncodeJobResponse(const JobRequest& request, const JobResponse& response);
std::string EncodeError(std::string_view error);

}  // namespace deckhall
