#include "drain/drain_records.h"

#include "wire/json.h"

namespace deckhall {
namespace {

constexpr size_t kLongestWhy = 200;

void PutNumber(JsonWriter& writer, const char* name, double value) {
  writer.Key(name);
  writer.Double(value);
}

void PutCount(JsonWriter& writer, const char* name, uint64_t value) {
  writer.Key(name);
  writer.Uint64(value);
}

}  // namespace

const char* DrainStateName(DrainState state) {
  switch (state) {
    case DrainState::kActive:
      return "active";
    case DrainState::kPaused:
      return "paused";
    case DrainState::kDone:
      return "done";
  }
  return "active";
}

std::string EncodeProgress(const DrainProgress& progress) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.SetMaxDecimalPlaces(2);
  writer.StartObject();
  PutString(writer, "drain", progress.drain);
  PutString(writer, "state", DrainStateName(progress.state));
  PutNumber(writer, "since", progress.since_wall);
  PutCount(writer, "machines_done", progress.machines_done);
  PutCount(writer, "machines_left", progress.machines_left);
  PutCount(writer, "replicas_moved", progress.replicas_moved);
  PutCount(writer, "replicas_moving", progress.replicas_moving);
  PutCount(writer, "tasks_stopped", progress.tasks_stopped);
  PutCount(writer, "given_up", progress.steps_given_up);
  PutString(writer, "why", std::string_view(progress.why).substr(0, kLongestWhy));
  PutNumber(writer, "waiting_since", progress.waiting_since_wall);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string EncodeEviction(const EvictionRecord& s) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.SetMaxDecimalPlaces(2);
  writer.StartObject();
  PutString(writer, "drain_step", s.drain);
  PutString(writer, "job", s.job);
  PutCount(writer, "task", s.task);
  PutString(writer, "machine", s.machine);
  PutCount(writer, "attempt", s.attempt);
  PutNumber(writer, "since", s.since_wall);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

bool DecodeProgress(std::string_view text, DrainProgress* out) {
  rapidjson::Document doc;
  if (!ParseJson(text, &doc) || !JsonString(doc, "drain", &out->drain)) return false;
  std::string word;
  JsonString(doc, "state", &word);
  out->state = word == "done"     ? DrainState::kDone
               : word == "paused" ? DrainState::kPaused
                                  : DrainState::kActive;
  JsonNumber(doc, "since", &out->since_wall);
  JsonU64(doc, "machines_done", &out->machines_done);
  JsonU64(doc, "machines_left", &out->machines_left);
  JsonU64(doc, "replicas_moved", &out->replicas_moved);
  JsonU64(doc, "replicas_moving", &out->replicas_moving);
  JsonU64(doc, "tasks_stopped", &out->tasks_stopped);
  JsonU64(doc, "given_up", &out->steps_given_up);
  JsonString(doc, "why", &out->why);
  JsonNumber(doc, "waiting_since", &out->waiting_since_wall);
  return true;
}

bool DecodeEviction(std::string_view text, EvictionRecord* out) {
  rapidjson::Document doc;
  if (!ParseJson(text, &doc) || !JsonString(doc, "drain_step", &out->drain)) return false;
  if (!JsonString(doc, "job", &out->job) || !JsonString(doc, "machine", &out->machine)) {
    return false;
  }
  JsonU64(doc, "task", &out->task);
  JsonU64(doc, "attempt", &out->attempt);
  JsonNumber(doc, "since", &out->since_wall);
  return true;
}

}  // namespace deckhall
