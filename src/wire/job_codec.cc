#include "wire/job_codec.h"

#include <algorithm>

namespace deckhall {
namespace {

constexpr uint32_t kMostTasks = 100000;
constexpr double kMostAmount = 1e9;
constexpr size_t kMostName = 200;

const char* const kPriorityWords[] = {"idle", "normal", "urgent", "production"};

bool ReadName(const JsonValue& object, const char* field, std::string* out) {
  if (!JsonString(object, field, out) || out->empty() || out->size() > kMostName) return false;
  return std::all_of(out->begin(), out->end(), [](char c) {
    return static_cast<unsigned char>(c) > 32 && static_cast<unsigned char>(c) != 127;
  });
}

bool ReadQuantity(const JsonValue& object, const char* field, double* out) {
  return JsonNumber(object, field, out) && *out >= 0 && *out <= kMostAmount;
}

std::string InvalidField(const char* field) { return std::string("missing or invalid: ") + field; }

// Absent or null keeps the default; anything but a boolean is an error.
bool ReadFlag(const JsonValue& object, const char* field, bool* out) {
  if (JsonMember(object, field) == nullptr) return true;
  return JsonBool(object, field, out);
}

}  // namespace

bool ValidJobId(std::string_view id) {
  if (id.size() < 5 || id.size() > 24 || id.substr(0, 4) != "job-") return false;
  return std::all_of(id.begin() + 4, id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::string ParseJob(std::string_view body, std::string* id, JobSpec* job) {
  rapidjson::Document doc;
  if (!ParseJson(body, &doc)) return "not JSON";
  if (!doc.IsObject()) return "not an object";
  std::string given;
  if (JsonString(doc, "name_id", &given) && ValidJobId(given)) *id = given;
  return ReadJob(doc, job);
}

std::string ReadJob(const JsonValue& object, JobSpec* job) {
  if (!JsonString(object, "name_id", &job->id) || !ValidJobId(job->id))
    return InvalidField("name_id");
  if (!ReadName(object, "clase", &job->job_class)) return InvalidField("clase");
  if (!ReadName(object, "cuadrilla", &job->team)) return InvalidField("cuadrilla");
  std::string word;
  if (!JsonString(object, "forma", &word)) return InvalidField("forma");
  if (word != "sweep" && word != "daemon" && word != "ensemble") return InvalidField("forma");
  job->service = word == "daemon";
  job->gang = word == "ensemble";
  if (!JsonString(object, "rango", &word)) return InvalidField("rango");
  auto* const end = std::end(kPriorityWords);
  auto* const at = std::find(std::begin(kPriorityWords), end, word);
  if (at == end) return InvalidField("rango");
  job->priority = static_cast<Priority>(at - std::begin(kPriorityWords));
  uint64_t tasks = 0;
  if (!JsonU64(object, "faenas", &tasks) || tasks == 0 || tasks > kMostTasks)
    return InvalidField("faenas");
  job->task_count = static_cast<uint32_t>(tasks);
  if (!ReadQuantity(object, "cores", &job->cores)) return InvalidField("cores");
  if (JsonMember(object, "gpus") != nullptr && !ReadQuantity(object, "gpus", &job->gpus))
    return InvalidField("gpus");
  if (!ReadQuantity(object, "memory_gb", &job->memory_gb)) return InvalidField("memory_gb");
  if (!ReadName(object, "carga", &job->image)) return InvalidField("carga");
  if (!ReadQuantity(object, "image_gb", &job->image_gb)) return InvalidField("image_gb");
  if (const JsonValue* types = JsonMember(object, "cascos")) {
    if (!types->IsArray() || types->Size() > 1000) return InvalidField("cascos");
    job->allowed_types.emplace();
    for (const auto& t : types->GetArray()) {
      if (!t.IsString() || t.GetStringLength() == 0 || t.GetStringLength() > kMostName) {
        return InvalidField("cascos");
      }
      job->allowed_types->emplace_back(t.GetString(), t.GetStringLength());
    }
  }
  if (JsonMember(object, "muelle") != nullptr && !ReadName(object, "muelle", &job->zone)) {
    return InvalidField("muelle");
  }
  if (!ReadFlag(object, "one_zone", &job->single_zone)) return InvalidField("one_zone");
  if (!ReadFlag(object, "apart", &job->anti_affinity)) return InvalidField("apart");
  if (!ReadFlag(object, "prestados", &job->spot_tolerant)) return InvalidField("prestados");
  if (!ReadQuantity(object, "rumbo_s", &job->estimated_runtime_s)) return InvalidField("rumbo_s");
  if (JsonMember(object, "bitacora_s") != nullptr &&
      !ReadQuantity(object, "bitacora_s", &job->checkpoint_interval_s)) {
    return InvalidField("bitacora_s");
  }
  if (JsonMember(object, "estiba_s") != nullptr &&
      !ReadQuantity(object, "estiba_s", &job->checkpoint_grace_s)) {
    return InvalidField("estiba_s");
  }
  if (JsonMember(object, "arribo_s") != nullptr) {
    double deadline = 0;
    if (!ReadQuantity(object, "arribo_s", &deadline)) return InvalidField("arribo_s");
    job->deadline_s = deadline;
  }
  return "";
}

void WriteJob(JsonWriter& writer, const JobSpec& job) {
  writer.StartObject();
  PutString(writer, "name_id", job.id);
  PutString(writer, "clase", job.job_class);
  PutString(writer, "cuadrilla", job.team);
  PutString(writer, "forma", job.service ? "daemon" : job.gang ? "ensemble" : "sweep");
  PutString(writer, "rango", kPriorityWords[static_cast<int>(job.priority)]);
  writer.Key("faenas");
  writer.Uint(job.task_count);
  auto number = [&writer](const char* name, double v) {
    writer.Key(name);
    writer.Double(v);
  };
  number("cores", job.cores);
  if (job.gpus > 0) number("gpus", job.gpus);
  number("memory_gb", job.memory_gb);
  PutString(writer, "carga", job.image);
  number("image_gb", job.image_gb);
  if (job.allowed_types) {
    writer.Key("cascos");
    writer.StartArray();
    for (const auto& t : *job.allowed_types) writer.String(t);
    writer.EndArray();
  }
  if (!job.zone.empty()) PutString(writer, "muelle", job.zone);
  auto flag = [&writer](const char* name, bool v) {
    if (!v) return;
    writer.Key(name);
    writer.Bool(v);
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

const char* JobStateWord(JobState state) {
  switch (state) {
    case JobState::kPending:
      return "pending";
    case JobState::kRunning:
      return "running";
    case JobState::kDone:
      return "done";
    case JobState::kCancelled:
      return "aborted";
  }
  return "pending";
}

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
  PutString(writer, "error", error);
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace deckhall
