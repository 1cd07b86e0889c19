#include "wire/job_codec.h"

#include <algorithm>

namespace deckhall {
namespace {

constexpr uint32_t kMostTasks = 100000;
constexpr double kMostAmount = 1e9;
constexpr size_t kMostName = 200;

const char* const kPriorityWords[] = {"idle", "normal", "urgent", "production"};

bool ReadName(const JsonValue& o, const char* field, std::string* out) {
  if (!JsonString(o, field, out) || out->empty() || out->size() > kMostName) return false;
  return std::all_of(out->begin(), out->end(), [](char c) {
    return static_cast<unsigned char>(c) > 32 && static_cast<unsigned char>(c) != 127;
  });
}

bool ReadQuantity(const JsonValue& o, const char* field, double* out) {
  return JsonNumber(o, field, out) && *out >= 0 && *out <= kMostAmount;
}

std::string InvalidField(const char* field) { return std::string("missing or invalid: ") + field; }

// Absent or null keeps the default; anything but a boolean is an error.
bool ReadFlag(const JsonValue& o, const char* field, bool* out) {
  if (JsonMember(o, field) == nullptr) return true;
  return JsonBool(o, field, out);
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

std::string ReadJob(const JsonValue& o, JobSpec* job) {
  if (!JsonString(o, "name_id", &job->id) || !ValidJobId(job->id)) return InvalidField("name_id");
  if (!ReadName(o, "clase", &job->job_class)) return InvalidField("clase");
  if (!ReadName(o, "cuadrilla", &job->team)) return InvalidField("cuadrilla");
  std::string word;
  if (!JsonString(o, "forma", &word)) return InvalidField("forma");
  if (word != "sweep" && word != "daemon" && word != "ensemble") return InvalidField("forma");
  job->service = word == "daemon";
  job->gang = word == "ensemble";
  if (!JsonString(o, "rango", &word)) return InvalidField("rango");
  auto* const end = std::end(kPriorityWords);
  auto* const at = std::find(std::begin(kPriorityWords), end, word);
  if (at == end) return InvalidField("rango");
  job->priority = static_cast<Priority>(at - std::begin(kPriorityWords));
  uint64_t tasks = 0;
  if (!JsonU64(o, "faenas", &tasks) || tasks == 0 || tasks > kMostTasks)
    return InvalidField("faenas");
  job->task_count = static_cast<uint32_t>(tasks);
  if (!ReadQuantity(o, "cores", &job->cores)) return InvalidField("cores");
  if (JsonMember(o, "gpus") != nullptr && !ReadQuantity(o, "gpus", &job->gpus))
    return InvalidField("gpus");
  if (!ReadQuantity(o, "memory_gb", &job->memory_gb)) return InvalidField("memory_gb");
  if (!ReadName(o, "carga", &job->image)) return InvalidField("carga");
  if (!ReadQuantity(o, "image_gb", &job->image_gb)) return InvalidField("image_gb");
  if (const JsonValue* types = JsonMember(o, "cascos")) {
    if (!types->IsArray() || types->Size() > 1000) return InvalidField("cascos");
    job->allowed_types.emplace();
    for (const auto& t : types->GetArray()) {
      if (!t.IsString() || t.GetStringLength() == 0 || t.GetStringLength() > kMostName) {
        return InvalidField("cascos");
      }
      job->allowed_types->emplace_back(t.GetString(), t.GetStringLength());
    }
  }
  if (JsonMember(o, "muelle") != nullptr && !ReadName(o, "muelle", &job->zone)) {
    return InvalidField("muelle");
  }
  if (!ReadFlag(o, "one_zone", &job->single_zone)) return InvalidField("one_zone");
  if (!ReadFlag(o, "apart", &job->anti_affinity)) return InvalidField("apart");
  if (!ReadFlag(o, "prestados", &job->spot_tolerant)) return InvalidField("prestados");
  if (!ReadQuantity(o, "rumbo_s", &job->estimated_runtime_s)) return InvalidField("rumbo_s");
  if (JsonMember(o, "bitacora_s") != nullptr &&
      !ReadQuantity(o, "bitacora_s", &job->checkpoint_interval_s)) {
    return InvalidField("bitacora_s");
  }
  if (JsonMember(o, "estiba_s") != nullptr &&
      !ReadQuantity(o, "estiba_s", &job->checkpoint_grace_s)) {
    return InvalidField("estiba_s");
  }
  if (JsonMember(o, "arribo_s") != nullptr) {
    double deadline = 0;
    if (!ReadQuantity(o, "arribo_s", &deadline)) return InvalidField("arribo_s");
    job->deadline_s = deadline;
  }
  return "";
}

void WriteJob(JsonWriter& w, const JobSpec& job) {
  w.StartObject();
  PutString(w, "name_id", job.id);
  PutString(w, "clase", job.job_class);
  PutString(w, "cuadrilla", job.team);
  PutString(w, "forma", job.service ? "daemon" : job.gang ? "ensemble" : "sweep");
  PutString(w, "rango", kPriorityWords[static_cast<int>(job.priority)]);
  w.Key("faenas");
  w.Uint(job.task_count);
  auto number = [&w](const char* name, double v) {
    w.Key(name);
    w.Double(v);
  };
  number("cores", job.cores);
  if (job.gpus > 0) number("gpus", job.gpus);
  number("memory_gb", job.memory_gb);
  PutString(w, "carga", job.image);
  number("image_gb", job.image_gb);
  if (job.allowed_types) {
    w.Key("cascos");
    w.StartArray();
    for (const auto& t : *job.allowed_types) w.String(t);
    w.EndArray();
  }
  if (!job.zone.empty()) PutString(w, "muelle", job.zone);
  auto flag = [&w](const char* name, bool v) {
    if (!v) return;
    w.Key(name);
    w.Bool(v);
  };
  flag("one_zone", job.single_zone);
  flag("apart", job.anti_affinity);
  flag("prestados", job.spot_tolerant);
  number("rumbo_s", job.estimated_runtime_s);
  if (job.checkpoint_interval_s > 0) number("bitacora_s", job.checkpoint_interval_s);
  if (job.checkpoint_grace_s > 0) number("estiba_s", job.checkpoint_grace_s);
  if (job.deadline_s) number("arribo_s", *job.deadline_s);
  w.EndObject();
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

std::string EncodeJobResponse(const JobRequest& ask, const JobResponse& reply) {
  if (reply.status != 200 && reply.status != 201) return EncodeError(reply.error);
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  PutString(w, "name_id", ask.job_id);
  PutString(w, "estado", JobStateWord(reply.state));
  if (ask.operation == JobOperation::kGet) {
    w.Key("done");
    w.Uint(reply.tasks_done);
    w.Key("running");
    w.Uint(reply.tasks_running);
  }
  w.EndObject();
  return buffer.GetString();
}

std::string EncodeError(std::string_view error) {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  PutString(w, "error", error);
  w.EndObject();
  return buffer.GetString();
}

}  // namespace deckhall
