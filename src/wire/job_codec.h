// Jobs and responses about them, as users send and read them (PROTOCOL, "Users -> controller
// nodes"), and as the stored rows of jobs hold them.
//
// A JobSpec that was read is valid: names are printable, amounts are finite and not negative.
// Functions keep no state and are safe to call from anywhere.
#pragma once

#include <string>
#include <string_view>

#include "common/result.h"
#include "wire/json.h"
#include "wire/types.h"

namespace deckhall {

enum class JobSpecErrorKind { kNotJson, kNotObject, kInvalidField };

// Why a body is no valid job.
struct JobSpecError {
  JobSpecErrorKind kind;
  std::string field = {};  // of kInvalidField: missing or invalid; its word on the wire
};

// The error in words, for the body of a 400.
std::string DescribeError(const JobSpecError& error);

// What a submission asks for.
struct JobSubmission {
  // Empty when the body has no usable one. Known apart from the job, so that a job that was
  // accepted before is answered even when the body is invalid.
  std::string job_id;
  Result<JobSpec, JobSpecError> spec;
};

// True for ids of the form users choose: "job-" and 1 to 20 digits.
bool ValidJobId(std::string_view id);

// Reads the body of a submission.
JobSubmission ParseJob(std::string_view body);
// Reads a job from a parsed object. The first field that is wrong is named.
Result<JobSpec, JobSpecError> ReadJob(const JsonValue& object);
// Writes the object that ReadJob reads.
void WriteJob(JsonWriter& writer, const JobSpec& job);

// The state as users read it.
const char* JobStateWord(JobState state);
// The body of the response to a request; the reason when it is neither 200 nor 201.
std::string EncodeJobResponse(const JobRequest& request, const JobResponse& response);
// {"error":...}
std::string EncodeError(std::string_view error);

}  // namespace deckhall
