// JSON codec of job submissions and their responses (PROTOCOL, "Users -> controller nodes"). Stored
// job records use the same encoding of a JobSpec.
//
// Every decoded JobSpec is valid: names are printable, amounts are finite and not negative.
// All functions are stateless and thread-safe.
#pragma once

#include <string>
#include <string_view>

#include "common/result.h"
#include "wire/json.h"
#include "wire/types.h"

namespace deckhall {

enum class JobSpecErrorKind { kNotJson, kNotObject, kInvalidField };

// The reason that a body is not a valid job.
struct JobSpecError {
  JobSpecErrorKind kind;
  std::string field = {};  // only with kInvalidField: the field's name on the wire
};

// Error text for the body of a response 400.
std::string DescribeError(const JobSpecError& error);

// Result of parsing a submission.
struct JobSubmission {
  // Empty if the body has no valid id. Separate from `spec`, so that a resubmission of an accepted
  // job gets the response about that job even if the body is invalid.
  std::string job_id;
  Result<JobSpec, JobSpecError> spec;
};

// True if the id is "job-" followed by 1 to 20 digits.
bool ValidJobId(std::string_view id);

JobSubmission ParseJob(std::string_view body);
// Reads a job from a parsed object. The error names the first invalid field.
Result<JobSpec, JobSpecError> ReadJob(const JsonValue& object);
// Writes the object that ReadJob reads.
void WriteJob(JsonWriter& writer, const JobSpec& job);

// Name of the state on the wire.
const char* JobStateWord(JobState state);
// Body of the response to a request: the job state with status 200 or 201, else the error.
std::string EncodeJobResponse(const JobRequest& request, const JobResponse& response);
// Returns {"error":...}.
std::string EncodeError(std::string_view error);

}  // namespace deckhall
