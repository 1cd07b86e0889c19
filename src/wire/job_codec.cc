// Names on the wire and the terms that the code uses for them:
//
//   wire name    term
//   name_id      job id
//   clase        job class
//   cuadrilla    team
//   forma        kind: "sweep" an array, "daemon" a service, "ensemble" a gang
//   rango        priority
//   faenas       number of tasks
//   carga        image
//   cascos       allowed machine types
//   muelle       zone
//   one_zone     single-zone
//   apart        anti-affinity
//   prestados    spot-tolerant
//   rumbo_s      estimated run time
//   bitacora_s   checkpoint interval
//   estiba_s     checkpoint grace period
//   arribo_s     deadline
//   estado       job state
#include "wire/job_codec.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <utility>

#include "wire/enum_words.h"

namespace deckhall {
namespace {

using FieldResult = Result<void, JobSpecError>;

constexpr uint32_t kMaxTasks = 100000;
constexpr double kMaxAmount = 1e9;
constexpr size_t kMaxNameBytes = 200;
constexpr size_t kMaxAllowedTypes = 1000;
// Bounds the response, since a peer may have written the error.
constexpr size_t kMaxErrorBytes = 1000;

constexpr EnumWord<Priority> kPriorityWords[] = {{Priority::kIdle, "idle"},
                                                 {Priority::kNormal, "normal"},
                                                 {Priority::kUrgent, "urgent"},
                                                 {Priority::kProduction, "production"}};
constexpr EnumWord<JobState> kJobStateWords[] = {{JobState::kPending, "pending"},
                                                 {JobState::kRunning, "running"},
                                                 {JobState::kDone, "done"},
                                                 {JobState::kCancelled, "aborted"}};

// How the tasks of a job relate to each other.
enum class JobKind { kArray, kService, kGang };
constexpr EnumWord<JobKind> kJobKindWords[] = {
    {JobKind::kArray, "sweep"}, {JobKind::kService, "daemon"}, {JobKind::kGang, "ensemble"}};

JobKind KindOf(const JobSpec& job) {
  if (job.service) return JobKind::kService;
  return job.gang ? JobKind::kGang : JobKind::kArray;
}

JobSpecError InvalidField(const char* field) { return {JobSpecErrorKind::kInvalidField, field}; }

bool IsPrintable(const std::string& name) {
  return std::all_of(name.begin(), name.end(), [](char c) {
    return static_cast<unsigned char>(c) > 32 && static_cast<unsigned char>(c) != 127;
  });
}

Result<std::string, JobSpecError> ReadName(const JsonValue& object, const char* field) {
  std::string name;
  if (!JsonString(object, field, &name) || name.empty() || name.size() > kMaxNameBytes ||
      !IsPrintable(name)) {
    return InvalidField(field);
  }
  return name;
}

Result<double, JobSpecError> ReadAmount(const JsonValue& object, const char* field) {
  double amount = 0;
  if (!JsonNumber(object, field, &amount) || amount < 0 || amount > kMaxAmount) {
    return InvalidField(field);
  }
  return amount;
}

// A missing or null amount is 0.
Result<double, JobSpecError> ReadOptionalAmount(const JsonValue& object, const char* field) {
  if (JsonMember(object, field) == nullptr) return 0.0;
  return ReadAmount(object, field);
}

// A missing or null flag is false. Any other value that is not a boolean is an error.
Result<bool, JobSpecError> ReadFlag(const JsonValue& object, const char* field) {
  bool flag = false;
  if (JsonMember(object, field) != nullptr && !JsonBool(object, field, &flag)) {
    return InvalidField(field);
  }
  return flag;
}

template <class Enum, size_t N>
Result<Enum, JobSpecError> ReadWord(const JsonValue& object, const char* field,
                                    const EnumWord<Enum> (&words)[N]) {
  std::string word;
  if (!JsonString(object, field, &word)) return InvalidField(field);
  const std::optional<Enum> value = EnumOf(words, word);
  if (!value) return InvalidField(field);
  return *value;
}

// Reads the id, class, team, kind and priority.
FieldResult ReadIdentity(const JsonValue& object, JobSpec* job) {
  if (!JsonString(object, "name_id", &job->id) || !ValidJobId(job->id)) {
    return InvalidField("name_id");
  }
  BOOST_OUTCOME_TRY(job_class, ReadName(object, "clase"));
  job->job_class = std::move(job_class);
  BOOST_OUTCOME_TRY(team, ReadName(object, "cuadrilla"));
  job->team = std::move(team);
  BOOST_OUTCOME_TRY(kind, ReadWord(object, "forma", kJobKindWords));
  job->service = kind == JobKind::kService;
  job->gang = kind == JobKind::kGang;
  BOOST_OUTCOME_TRY(priority, ReadWord(object, "rango", kPriorityWords));
  job->priority = priority;
  return Success();
}

// Reads the number of tasks and the resources and image of each.
FieldResult ReadRequirements(const JsonValue& object, JobSpec* job) {
  uint64_t task_count = 0;
  if (!JsonU64(object, "faenas", &task_count) || task_count == 0 || task_count > kMaxTasks) {
    return InvalidField("faenas");
  }
  job->task_count = static_cast<uint32_t>(task_count);
  BOOST_OUTCOME_TRY(cores, ReadAmount(object, "cores"));
  job->cores = cores;
  BOOST_OUTCOME_TRY(gpus, ReadOptionalAmount(object, "gpus"));
  job->gpus = gpus;
  BOOST_OUTCOME_TRY(memory_gb, ReadAmount(object, "memory_gb"));
  job->memory_gb = memory_gb;
  BOOST_OUTCOME_TRY(image, ReadName(object, "carga"));
  job->image = std::move(image);
  BOOST_OUTCOME_TRY(image_gb, ReadAmount(object, "image_gb"));
  job->image_gb = image_gb;
  return Success();
}

Result<std::vector<std::string>, JobSpecError> ReadTypeNames(const JsonValue& types) {
  if (!types.IsArray() || types.Size() > kMaxAllowedTypes) return InvalidField("cascos");
  std::vector<std::string> names;
  for (const auto& type : types.GetArray()) {
    if (!type.IsString() || type.GetStringLength() == 0 || type.GetStringLength() > kMaxNameBytes) {
      return InvalidField("cascos");
    }
    names.emplace_back(type.GetString(), type.GetStringLength());
  }
  return names;
}

// Reads the placement constraints.
FieldResult ReadConstraints(const JsonValue& object, JobSpec* job) {
  if (const JsonValue* types = JsonMember(object, "cascos")) {
    BOOST_OUTCOME_TRY(names, ReadTypeNames(*types));
    job->allowed_types = std::move(names);
  }
  if (JsonMember(object, "muelle") != nullptr) {
    BOOST_OUTCOME_TRY(zone, ReadName(object, "muelle"));
    job->zone = std::move(zone);
  }
  BOOST_OUTCOME_TRY(single_zone, ReadFlag(object, "one_zone"));
  job->single_zone = single_zone;
  BOOST_OUTCOME_TRY(anti_affinity, ReadFlag(object, "apart"));
  job->anti_affinity = anti_affinity;
  BOOST_OUTCOME_TRY(spot_tolerant, ReadFlag(object, "prestados"));
  job->spot_tolerant = spot_tolerant;
  return Success();
}

FieldResult ReadTimes(const JsonValue& object, JobSpec* job) {
  BOOST_OUTCOME_TRY(estimated_runtime_s, ReadAmount(object, "rumbo_s"));
  job->estimated_runtime_s = estimated_runtime_s;
  BOOST_OUTCOME_TRY(checkpoint_interval_s, ReadOptionalAmount(object, "bitacora_s"));
  job->checkpoint_interval_s = checkpoint_interval_s;
  BOOST_OUTCOME_TRY(checkpoint_grace_s, ReadOptionalAmount(object, "estiba_s"));
  job->checkpoint_grace_s = checkpoint_grace_s;
  if (JsonMember(object, "arribo_s") != nullptr) {
    BOOST_OUTCOME_TRY(deadline_s, ReadAmount(object, "arribo_s"));
    job->deadline_s = deadline_s;
  }
  return Success();
}

}  // namespace

std::string DescribeError(const JobSpecError& error) {
  switch (error.kind) {
    case JobSpecErrorKind::kNotJson:
      return "not JSON";
    case JobSpecErrorKind::kNotObject:
      return "not an object";
    case JobSpecErrorKind::kInvalidField:
      return "missing or invalid: " + error.field;
  }
  return "";
}

bool ValidJobId(std::string_view id) {
  if (id.size() < 5 || id.size() > 24 || id.substr(0, 4) != "job-") return false;
  return std::all_of(id.begin() + 4, id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

JobSubmission ParseJob(std::string_view body) {
  rapidjson::Document document;
  if (!ParseJson(body, &document)) return {"", JobSpecError{JobSpecErrorKind::kNotJson}};
  if (!document.IsObject()) return {"", JobSpecError{JobSpecErrorKind::kNotObject}};
  std::string job_id;
  if (!JsonString(document, "name_id", &job_id) || !ValidJobId(job_id)) job_id.clear();
  return {std::move(job_id), ReadJob(document)};
}

Result<JobSpec, JobSpecError> ReadJob(const JsonValue& object) {
  JobSpec job;
  BOOST_OUTCOME_TRYV(ReadIdentity(object, &job));
  BOOST_OUTCOME_TRYV(ReadRequirements(object, &job));
  BOOST_OUTCOME_TRYV(ReadConstraints(object, &job));
  BOOST_OUTCOME_TRYV(ReadTimes(object, &job));
  return job;
}

void WriteJob(JsonWriter& writer, const JobSpec& job) {
  writer.StartObject();
  PutString(writer, "name_id", job.id);
  PutString(writer, "clase", job.job_class);
  PutString(writer, "cuadrilla", job.team);
  PutString(writer, "forma", WordOf(kJobKindWords, KindOf(job)));
  PutString(writer, "rango", WordOf(kPriorityWords, job.priority));
  writer.Key("faenas");
  writer.Uint(job.task_count);
  auto number = [&writer](const char* name, double value) {
    writer.Key(name);
    writer.Double(value);
  };
  number("cores", job.cores);
  if (job.gpus > 0) number("gpus", job.gpus);
  number("memory_gb", job.memory_gb);
  PutString(writer, "carga", job.image);
  number("image_gb", job.image_gb);
  if (job.allowed_types) {
    writer.Key("cascos");
    writer.StartArray();
    for (const auto& type : *job.allowed_types) writer.String(type);
    writer.EndArray();
  }
  if (!job.zone.empty()) PutString(writer, "muelle", job.zone);
  auto flag = [&writer](const char* name, bool value) {
    if (!value) return;
    writer.Key(name);
    writer.Bool(value);
  };
  flag("one_zone", job.single_zone);
  flag("apart", job.anti_affinity);
  flag("prestados", job.spot_tolerant);
  number("rumbo_s", job.estimated_runtime_s);
  if (job.checkpoint_interval_s > 0) number("bitacora_s", job.checkpoint_interval_s);
  if (job.checkpoint_grace_s > 0) number("estiba_s", job.checkpoint_grace_s);
  if (job.deadline_s) number("arribo_s", *job.deadline_s);
  writer.EndObject();
}

const char* JobStateWord(JobState state) { return WordOf(kJobStateWords, state, "pending"); }

std::string EncodeJobResponse(const JobRequest& request, const JobResponse& response) {
  if (response.status != 200 && response.status != 201) return EncodeError(response.error);
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  PutString(writer, "name_id", request.job_id);
  PutString(writer, "estado", JobStateWord(response.state));
  if (request.operation == JobOperation::kGet) {
    writer.Key("done");
    writer.Uint(response.tasks_done);
    writer.Key("running");
    writer.Uint(response.tasks_running);
  }
  writer.EndObject();
  return buffer.GetString();
}

std::string EncodeError(std::string_view error) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  PutString(writer, "error", error.substr(0, kMaxErrorBytes));
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace deckhall
