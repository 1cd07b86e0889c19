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

bool ReadAmount(const JsonValue& o, const char* field, double* out) {
  return JsonNumber(o, field, out) && *out >= 0 && *out <= kMostAmount;
}

std::string Bad(const char* field) { return std::string("missing or invalid: ") + field; }

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
  if (!JsonString(o, "name_id", &job->id) || !ValidJobId(job->id)) return Bad("name_id");
  if (!ReadName(o, "clase", &job->job_class)) return Bad("clase");
  if (!ReadName(o, "cuadrilla", &job->team)) return Bad("cuadrilla");
  std::string word;
  if (!JsonString(o, "forma", &word)) return Bad("forma");
  if (word != "sweep" && word != "daemon" && word != "ensemble") return Bad("forma");
  job->service = word == "daemon";
  job->gang = word == "ensemble";
  if (!JsonString(o, "rango", &word)) return Bad("rango");
  auto* const end = std::end(kPriorityWords);
  auto* const at = std::find(std::begin(kPriorityWords), end, word);
  if (at == end) return Bad("rango");
  job->priority = static_cast<Priority>(at - std::begin(kPriorityWords));
  uint64_t tasks = 0;
  if (!JsonU64(o, "faenas", &tasks) || tasks == 0 || tasks > kMostTasks) return Bad("faenas");
  job->tasks = static_cast<uint32_t>(tasks);
  if (!ReadAmount(o, "cores", &job->cores)) return Bad("cores");
  if (JsonMember(o, "gpus") != nullptr && !ReadAmount(o, "gpus", &job->gpus)) return Bad("gpus");
  if (!ReadAmount(o, "memory_gb", &job->memory_gb)) return Bad("memory_gb");
  if (!ReadName(o, "carga", &job->image)) return Bad("carga");
  if (!ReadAmount(o, "image_gb", &job->image_gb)) return Bad("image_gb");
  if (const JsonValue* types = JsonMember(o, "cascos")) {
    if (!types->IsArray() || types->Size() > 1000) return Bad("cascos");
    job->types.emplace();
    for (const auto& t : types->GetArray()) {
      if (!t.IsString() || t.GetStringLength() == 0 || t.GetStringLength() > kMostName) {
        return Bad("cascos");
      }
      job->types->emplace_back(t.GetString(), t.GetStringLength());
    }
  }
  if (JsonMember(o, "muelle") != nullptr && !ReadName(o, "muelle", &job->zone)) {
    return Bad("muelle");
  }
  if (!ReadFlag(o, "one_zone", &job->one_zone)) return Bad("one_zone");
  if (!ReadFlag(o, "apart", &job->apart)) return Bad("apart");
  if (!ReadFlag(o, "prestados", &job->spot)) return Bad("prestados");
  if (!ReadAmount(o, "rumbo_s", &job->estimate_s)) return Bad("rumbo_s");
  if (JsonMember(o, "bitacora_s") != nullptr && !ReadAmount(o, "bitacora_s", &job->checkpoint_s)) {
    return Bad("bitacora_s");
  }
  if (JsonMember(o, "estiba_s") != nullptr && !ReadAmount(o, "estiba_s", &job->save_s)) {
    return Bad("estiba_s");
  }
  if (JsonMember(o, "arribo_s") != nullptr) {
    double deadline = 0;
    if (!ReadAmount(o, "arribo_s", &deadline)) return Bad("arribo_s");
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
  w.Uint(job.tasks);
  auto number = [&w](const char* name, double v) {
    w.Key(name);
    w.Double(v);
  };
  number("cores", job.cores);
  if (job.gpus > 0) number("gpus", job.gpus);
  number("memory_gb", job.memory_gb);
  PutString(w, "carga", job.image);
  number("image_gb", job.image_gb);
  if (job.types) {
    w.Key("cascos");
    w.StartArray();
    for (const auto& t : *job.types) w.String(t);
    w.EndArray();
  }
  if (!job.zone.empty()) PutString(w, "muelle", job.zone);
  auto flag = [&w](const char* name, bool v) {
    if (!v) return;
    w.Key(name);
    w.Bool(v);
  };
  flag("one_zone", job.one_zone);
  flag("apart", job.apart);
  flag("prestados", job.spot);
  number("rumbo_s", job.estimate_s);
  if (job.checkpoint_s > 0) number("bitacora_s", job.checkpoint_s);
  if (job.save_s > 0) number("estiba_s", job.save_s);
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

std::string EncodeUserResponse(const UserRequest& ask, const UserResponse& reply) {
  if (reply.status != 200 && reply.status != 201) return EncodeError(reply.error);
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  PutString(w, "name_id", ask.id);
  PutString(w, "estado", JobStateWord(reply.state));
  if (ask.op == UserOp::kGet) {
    w.Key("done");
    w.Uint(reply.done);
    w.Key("running");
    w.Uint(reply.running);
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
